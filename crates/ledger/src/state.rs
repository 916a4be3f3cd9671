//! State of the ledger in one process.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::{
    AttemptId, CallKey, FinishedCall, LedgerEpoch, LedgerSettings, NotRunReason, ShardContents,
    ShardId, StartRequest,
};

/// Number of epochs by which a record may seem older than it is.
pub(crate) const EPOCH_MARGIN: u64 = 2;

/// Effects collected by a command.
pub(crate) type Effects = Vec<crate::LedgerEffect>;

/// State of the ledger in one process.
#[derive(Debug)]
pub struct LedgerState {
    pub(crate) settings: LedgerSettings,
    pub(crate) node: NodeName,
    pub(crate) process: u64,
    pub(crate) calls: BTreeMap<CallId, CallState>,
    pub(crate) shards: BTreeMap<ShardId, ShardState>,
    /// Shards with calls.
    pub(crate) active: BTreeSet<ShardId>,
    /// Instant at which cached contents without calls are next freed.
    pub(crate) sweep_at: ClockTime,
    pub(crate) epoch: EpochState,
    pub(crate) random: StdRng,
}

impl LedgerState {
    /// State of a process that has just started.
    ///
    /// `process` must be a fresh random number: it distinguishes the records of this
    /// process from those of earlier processes on the same node.
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

/// Cached state of the epoch object.
#[derive(Clone, Debug, Default)]
pub(crate) struct EpochState {
    /// Newest version seen; older ones are ignored.
    pub newest_version: ObjectVersion,
    /// Newest epoch seen.
    pub newest: Option<LedgerEpoch>,
    /// Epoch for new records; `None` once it may be too old.
    pub record_epoch: Option<LedgerEpoch>,
    /// When the newest epoch was first seen.
    pub first_seen_at: ClockTime,
    /// When the request that brought the newest version was sent.
    pub requested_at: ClockTime,
    /// Request to the store in flight.
    pub in_flight: Option<EpochRequest>,
    /// Earliest instant of the next request to the store.
    pub not_before: ClockTime,
    /// Consecutive failed requests to the store.
    pub failures: u32,
}

/// Request to the store about the epoch.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EpochRequest {
    Read {
        sent_at: ClockTime,
    },
    Write {
        sent_at: ClockTime,
        epoch: LedgerEpoch,
    },
}

/// Call of this process.
#[derive(Clone, Debug)]
pub(crate) struct CallState {
    pub request: StartRequest,
    pub attempt: AttemptId,
    pub shard: ShardId,
    pub begun_at: ClockTime,
    pub stage: CallStage,
    /// Version expected by an update with this call's record, while it is not known
    /// whether that update took effect.
    pub unresolved_write: Option<ObjectVersion>,
    /// When the first update that may have written its start record was sent.
    pub first_write_at: ClockTime,
    /// Instant by which the caller must get a verdict.
    pub reply_deadline: ClockTime,
    /// Whether the caller has got its final verdict.
    pub has_verdict: bool,
}

/// Stage of a call in this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallStage {
    /// Its start record is to be written.
    Recording,
    /// Waits for the outcome of the attempt whose record was found.
    Joined {
        /// Whether that attempt belongs to this process.
        local: bool,
    },
    /// Its start record is written; it may be sent or has been.
    Sent {
        /// Instant after which its response counts as lost.
        run_deadline: ClockTime,
    },
    /// Its outcome is to be recorded.
    Finishing(FinishedCall),
    /// Its start record is to be removed, if it was written.
    Withdrawing(NotRunReason),
}

/// Cached state of one shard.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShardState {
    /// Newest version seen; older ones are ignored.
    pub newest_version: ObjectVersion,
    /// Contents at that version; `None` if they must be read first.
    pub contents: Option<Arc<ShardContents>>,
    /// When the request that brought those contents was sent.
    pub requested_at: ClockTime,
    /// When the response to that request was received.
    pub received_at: ClockTime,
    /// Running records of other attempts that calls of this process have joined.
    pub observed: BTreeMap<CallKey, ObservedAttempt>,
    pub in_flight: Option<ShardRequest>,
    /// Earliest instant of the next request to the store.
    pub not_before: ClockTime,
    /// Consecutive failed requests to the store.
    pub failures: u32,
    /// Earliest instant of the next read that only serves joined calls.
    pub poll_at: ClockTime,
    /// Consecutive reads that only served joined calls.
    pub polls: u32,
    /// Whether the store did not respond last time.
    pub is_unavailable: bool,
    pub calls: BTreeSet<CallId>,
}

/// Request to the store about a shard.
#[derive(Clone, Debug)]
pub(crate) enum ShardRequest {
    Read {
        sent_at: ClockTime,
    },
    Write {
        sent_at: ClockTime,
        expected: ObjectVersion,
        contents: Arc<ShardContents>,
        calls: BTreeSet<CallId>,
    },
}

/// Attempt whose running record was found in the shard.
///
/// Its age is measured on this process's monotonic clock alone: once the record has
/// been seen running for the whole run timeout, the call is over, whichever process
/// made it. No wall clock is trusted.
#[derive(Clone, Debug)]
pub(crate) struct ObservedAttempt {
    pub attempt: AttemptId,
    pub run_deadline: ClockTime,
}
