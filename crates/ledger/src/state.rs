//! What one process knows of the ledger.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::{
    AttemptId, CallKey, FinishedCall, LedgerEpoch, LedgerSettings, NotRunReason, ShardContents,
    ShardId, StartRequest,
};

/// Epochs by which a mark may seem older than it is.
pub(crate) const STAMP_MARGIN: u64 = 2;

/// Effects that a command gathers.
pub(crate) type Effects = Vec<crate::LedgerEffect>;

/// One process's side of the ledger.
#[derive(Debug)]
pub struct LedgerState {
    pub(crate) settings: LedgerSettings,
    pub(crate) node: NodeName,
    pub(crate) process: u64,
    pub(crate) calls: BTreeMap<CallId, CallState>,
    pub(crate) shards: BTreeMap<ShardId, ShardState>,
    /// Shards that have calls.
    pub(crate) active: BTreeSet<ShardId>,
    /// Instant after which contents that no call needs are freed.
    pub(crate) sweep_at: ClockTime,
    pub(crate) epoch: EpochState,
    pub(crate) random: StdRng,
}

impl LedgerState {
    /// Ledger of a process that has just started.
    ///
    /// `process` must be a fresh random number: it tells this run's marks from
    /// those of earlier runs on the same node.
    pub fn new(settings: LedgerSettings, node: NodeName, process: u64, seed: u64) -> Self {
        Self {
            settings,
            node,
            process,
            calls: BTreeMap::new(),
            shards: BTreeMap::new(),
            active: BTreeSet::new(),
            sweep_at: ClockTime::default(),
            epoch: EpochState::default(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn attempt(&self, call: CallId) -> AttemptId {
        AttemptId {
            node: self.node.clone(),
            process: self.process,
            call,
        }
    }
}

/// What is known of the epoch object.
#[derive(Clone, Debug, Default)]
pub(crate) struct EpochState {
    /// Newest version seen; anything older is refused.
    pub floor: ObjectVersion,
    /// Newest epoch seen.
    pub known: Option<LedgerEpoch>,
    /// Epoch to stamp marks with; none once it may be too old.
    pub stamp: Option<LedgerEpoch>,
    /// When that epoch was first seen.
    pub seen_at: ClockTime,
    /// When the newest answer about it was asked for.
    pub asked_at: ClockTime,
    /// When the call to the store that is under way was sent.
    pub flight: Option<EpochFlight>,
    /// Earliest instant of the next call to the store.
    pub not_before: ClockTime,
    /// Calls to the store that failed one after another.
    pub failures: u32,
}

/// Call to the store about the epoch that is under way.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EpochFlight {
    Read {
        sent_at: ClockTime,
    },
    Write {
        sent_at: ClockTime,
        epoch: LedgerEpoch,
    },
}

/// A call and how far it is.
#[derive(Clone, Debug)]
pub(crate) struct CallState {
    pub request: StartRequest,
    pub attempt: AttemptId,
    pub shard: ShardId,
    pub begun: ClockTime,
    pub phase: CallStage,
    /// Version that an update with this call's mark expected, while it is not
    /// known whether that update took effect.
    pub doubt: Option<ObjectVersion>,
    /// When the first update that may have made its mark was sent.
    pub marked_at: ClockTime,
    /// Instant by which the caller must hear something.
    pub reply_deadline: ClockTime,
    /// Whether the caller has had its final verdict.
    pub told: bool,
}

/// How far a call is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallStage {
    /// Wants its mark made.
    Wanting,
    /// Waits for the attempt whose mark was found.
    Joining {
        /// Whether that attempt is this process's own.
        local: bool,
    },
    /// Its mark is made and it may be sent, or was.
    Sent {
        /// Instant after which its answer is taken as lost.
        run_deadline: ClockTime,
    },
    /// Its end is to be recorded.
    Finishing(FinishedCall),
    /// Its mark is to be removed, if it was made.
    Withdrawing(NotRunReason),
}

/// What is known of one shard.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShardState {
    /// Newest version seen; anything older is refused.
    pub floor: ObjectVersion,
    /// Contents at that version, unless they must be read first.
    pub record: Option<Arc<ShardContents>>,
    /// When the call that brought those contents was sent.
    pub asked_at: ClockTime,
    /// When that call was answered.
    pub seen_at: ClockTime,
    /// Running marks of other attempts that calls here have joined.
    pub sightings: BTreeMap<CallKey, MarkSighting>,
    pub flight: Option<ShardFlight>,
    /// Earliest instant of the next call to the store.
    pub not_before: ClockTime,
    /// Calls to the store that failed one after another.
    pub failures: u32,
    /// Earliest instant of the next read made only for joined calls.
    pub poll_at: ClockTime,
    /// Reads one after another made only for joined calls.
    pub polls: u32,
    /// Whether the store gave no answer last time.
    pub down: bool,
    pub calls: BTreeSet<CallId>,
}

/// Call to the store that is under way.
#[derive(Clone, Debug)]
pub(crate) enum ShardFlight {
    Read {
        sent_at: ClockTime,
    },
    Write {
        sent_at: ClockTime,
        expected: ObjectVersion,
        record: Arc<ShardContents>,
        calls: BTreeSet<CallId>,
    },
}

/// First sight of another attempt's running mark.
///
/// A process judges that attempt by its own monotonic clock alone: once the
/// mark has been seen running for the whole run limit, its call is over, whoever
/// made it. Nobody's wall clock is trusted.
#[derive(Clone, Debug)]
pub(crate) struct MarkSighting {
    pub attempt: AttemptId,
    pub run_deadline: ClockTime,
}
