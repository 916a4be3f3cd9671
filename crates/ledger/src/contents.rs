//! Contents of a shard: call records and recorded responses.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{AttemptId, CallKey, LedgerEpoch, RequestDigest};

/// Contents of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardContents {
    /// Records by call.
    pub records: BTreeMap<CallKey, CallRecord>,
}

/// Record of one call: that it was started and, once known, how it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Attempt that wrote the record, the only one that may send the call.
    pub attempt: AttemptId,
    /// Digest of the request that the key was used for.
    pub digest: RequestDigest,
    /// Epoch in which the record was written.
    pub epoch: LedgerEpoch,
    /// Phase of the call.
    pub phase: CallPhase,
}

/// Phase of a recorded call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallPhase {
    /// The call was sent or is about to be sent.
    Running,
    /// The endpoint sent this response.
    Answered(RecordedResponse),
    /// The endpoint may have run the call, but its response was lost.
    Unknown,
}

/// Response of an endpoint as the ledger keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers that are forwarded to the client.
    pub headers: Vec<RecordedHeader>,
    /// Body of the response.
    pub body: RecordedBody,
}

/// Header of a recorded response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedHeader {
    /// Header name.
    pub name: Arc<str>,
    /// Header value.
    pub value: Arc<str>,
}

/// Body of a recorded response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordedBody {
    /// Complete body.
    Whole(Arc<[u8]>),
    /// Too large to keep: other clients get the status and a notice that the body
    /// was not kept.
    Omitted {
        /// Length of the body in bytes.
        length: u64,
    },
}

impl RecordedBody {
    /// Number of bytes that are kept.
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
