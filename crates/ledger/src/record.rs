//! Contents of a shard.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{AttemptId, CallKey, LedgerEpoch, RequestDigest};

/// Contents of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardContents {
    /// Start marks.
    pub marks: BTreeMap<CallKey, CallRecord>,
}

/// Start mark of one call, and its end once known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Attempt that made the mark, the only one that may send.
    pub attempt: AttemptId,
    /// Digest of the call that the key was used for.
    pub digest: RequestDigest,
    /// Epoch in which it was made.
    pub epoch: LedgerEpoch,
    /// How far the call is.
    pub phase: CallPhase,
}

/// How far a marked call is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallPhase {
    /// Sent or about to be sent.
    Running,
    /// The endpoint answered.
    Answered(RecordedResponse),
    /// The endpoint may have run it; its answer was lost.
    Unknown,
}

/// Answer of an endpoint as the ledger keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<RecordedHeader>,
    /// Its body.
    pub body: RecordedBody,
}

/// One header of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedHeader {
    /// Its name.
    pub name: Arc<str>,
    /// Its value.
    pub value: Arc<str>,
}

/// Body of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordedBody {
    /// All of it.
    Whole(Arc<[u8]>),
    /// Too large to keep: other devices learn the status but must be told that
    /// the body isn't kept.
    Omitted {
        /// Length in bytes.
        length: u64,
    },
}

impl RecordedBody {
    /// Bytes that are kept.
    pub fn kept_len(&self) -> usize {
        match self {
            Self::Whole(bytes) => bytes.len(),
            Self::Omitted { .. } => 0,
        }
    }

    /// The same body without its bytes.
    pub fn omit(&self) -> Self {
        match self {
            Self::Whole(bytes) => Self::Omitted {
                length: bytes.len() as u64,
            },
            Self::Omitted { length } => Self::Omitted { length: *length },
        }
    }
}
