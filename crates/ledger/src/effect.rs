//! What goes into the ledger and what comes out of it.

use std::fmt;

use base::prelude::*;

use crate::{CallKey, LedgerEpoch, RecordedResponse, RequestDigest, ShardContents, ShardId};

/// Non-idempotent call that wants to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRequest {
    /// Call of this process.
    pub call: CallId,
    /// Its identity on every device.
    pub key: CallKey,
    /// Digest of its method, path and body.
    pub digest: RequestDigest,
    /// Instant by which its caller must hear something.
    pub deadline: ClockTime,
}

/// End of a call at its endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinishedCall {
    /// The endpoint answered whole.
    Answered(RecordedResponse),
    /// Bytes went out, but no whole answer came back.
    Unknown,
}

/// What the ledger wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerEffect {
    /// Read a shard; the end goes to `complete_read`.
    ReadShard {
        /// Shard to read.
        shard: ShardId,
    },
    /// Write a shard conditionally; the end goes to `complete_write`.
    WriteShard {
        /// Shard to write.
        shard: ShardId,
        /// Version it must still have.
        expected: ObjectVersion,
        /// Its new contents.
        record: Arc<ShardContents>,
    },
    /// Read the epoch; the end goes to `complete_epoch_read`.
    ReadEpoch,
    /// Write the epoch conditionally; the end goes to `complete_epoch_write`.
    WriteEpoch {
        /// Version it must still have.
        expected: ObjectVersion,
        /// The new epoch.
        epoch: LedgerEpoch,
    },
    /// Tell a call how it stands.
    Verdict {
        /// The call.
        call: CallId,
        /// How it stands.
        verdict: CallVerdict,
    },
}

/// How a call stands.
///
/// [`CallVerdict::Send`] is followed by one of the others; each of those is
/// final for the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallVerdict {
    /// This attempt's mark is made: send it now, once.
    Send,
    /// This attempt sent nothing and never will.
    NotRun(NotRunReason),
    /// What the endpoint answered.
    Response(RecordedResponse),
    /// An attempt was sent and may still be running.
    StillRunning,
    /// Whether the call ran can't be known.
    OutcomeUnknown,
}

/// Why a call wasn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// The store gave no answer, so no mark could be made.
    StoreUnavailable,
    /// The key belongs to another request.
    KeyReused,
    /// The shard has no room for another mark.
    ShardFull,
    /// The deadline passed before a mark was made.
    DeadlinePassed,
    /// The mark was withdrawn before anything was sent.
    Withdrawn,
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::StoreUnavailable => {
                "not run: the platform's store gives no answer; repeat it with the same key later"
            }
            Self::KeyReused => {
                "not run: its key was already used for another request; give it a key of its own"
            }
            Self::ShardFull => {
                "not run: the ledger has no room for its key; repeat it with the same key later"
            }
            Self::DeadlinePassed => {
                "not run: its deadline passed before it could be sent; repeat it with the same key"
            }
            Self::Withdrawn => {
                "not run: no endpoint could take it; repeat it with the same key later"
            }
        })
    }
}

/// End of a shard's read, decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShardRead {
    /// The shard as it stands.
    Found {
        /// Its version.
        version: ObjectVersion,
        /// Its contents.
        record: Arc<ShardContents>,
    },
    /// No such shard yet.
    Missing,
    /// No answer, or one that can't be read.
    Unavailable,
}

/// End of the epoch's read, decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochRead {
    /// The epoch as it stands.
    Found {
        /// Version of its object.
        version: ObjectVersion,
        /// The epoch.
        epoch: LedgerEpoch,
    },
    /// No epoch has been written yet.
    Missing,
    /// No answer, or one that can't be read.
    Unavailable,
}
