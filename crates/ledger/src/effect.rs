//! Inputs and effects of the ledger.

use std::fmt;

use base::prelude::*;

use crate::{CallKey, LedgerEpoch, RecordedResponse, RequestDigest, ShardContents, ShardId};

/// Request to start a non-idempotent call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRequest {
    /// Identity within this process.
    pub call: CallId,
    /// Identity shared by all requests for the same call, from any client on any node.
    pub key: CallKey,
    /// Digest of the method, path and body.
    pub digest: RequestDigest,
    /// Instant by which the caller must get a verdict.
    pub deadline: ClockTime,
}

/// Outcome of a call at its endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinishedCall {
    /// The endpoint sent a complete response.
    Answered(RecordedResponse),
    /// Data was sent, but no complete response was received.
    Unknown,
}

/// Side effect that the ledger requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerEffect {
    /// Read a shard; the outcome goes to `LedgerState::complete_read`.
    ReadShard {
        /// Shard to read.
        shard: ShardId,
    },
    /// Write a shard by conditional update; the outcome goes to `LedgerState::complete_write`.
    WriteShard {
        /// Shard to write.
        shard: ShardId,
        /// Version that the stored object must still have.
        expected: ObjectVersion,
        /// New contents of the shard.
        contents: Arc<ShardContents>,
    },
    /// Read the epoch; the outcome goes to `LedgerState::complete_epoch_read`.
    ReadEpoch,
    /// Write the epoch by conditional update; the outcome goes to
    /// `LedgerState::complete_epoch_write`.
    WriteEpoch {
        /// Version that the stored object must still have.
        expected: ObjectVersion,
        /// The new epoch.
        epoch: LedgerEpoch,
    },
    /// Report a verdict to a call.
    Verdict {
        /// Call that the verdict is for.
        call: CallId,
        /// Verdict on the call.
        verdict: CallVerdict,
    },
}

/// Verdict on a call.
///
/// [`CallVerdict::Send`] is followed by one of the others, each of which is final.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallVerdict {
    /// This attempt's start record is written: send the call now, once.
    Send,
    /// This attempt sent nothing and never will.
    NotRun(NotRunReason),
    /// Response of the endpoint.
    Response(RecordedResponse),
    /// The call was sent by some attempt and may still be running.
    StillRunning,
    /// It can't be determined whether the call ran.
    OutcomeUnknown,
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// The store did not respond, so no start record could be written.
    StoreUnavailable,
    /// The key was already used for a request with another digest.
    KeyReused,
    /// The shard has no room for another record.
    ShardFull,
    /// The deadline passed before a start record was written.
    DeadlinePassed,
    /// The call was withdrawn before anything was sent.
    Withdrawn,
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::StoreUnavailable => {
                "not run: the store does not respond; retry later with the same key"
            }
            Self::KeyReused => {
                "not run: the idempotency key was already used for another request; use a new key"
            }
            Self::ShardFull => {
                "not run: the ledger shard of the key is full; retry later with the same key"
            }
            Self::DeadlinePassed => {
                "not run: the deadline passed before the call was sent; retry with the same key"
            }
            Self::Withdrawn => {
                "not run: no endpoint accepted the call; retry later with the same key"
            }
        })
    }
}

/// Decoded outcome of a shard's read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShardRead {
    /// The shard exists.
    Found {
        /// Version of the shard's object.
        version: ObjectVersion,
        /// Contents of the shard.
        contents: Arc<ShardContents>,
    },
    /// The shard has not been written yet.
    Missing,
    /// No response, or one that can't be decoded.
    Unavailable,
}

/// Decoded outcome of the epoch's read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochRead {
    /// The epoch exists.
    Found {
        /// Version of the epoch's object.
        version: ObjectVersion,
        /// Present epoch.
        epoch: LedgerEpoch,
    },
    /// The epoch has not been written yet.
    Missing,
    /// No response, or one that can't be decoded.
    Unavailable,
}
