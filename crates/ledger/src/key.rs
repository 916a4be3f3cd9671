//! Identity of a call, of an attempt at it, and of the shard that keeps it.

use std::fmt;
use std::hash::Hasher;

use base::prelude::*;
use sha2::{Digest, Sha256};
use store::ObjectKey;
use twox_hash::XxHash64;

/// Identity of one non-idempotent call on every device and node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Caller; another caller's key of the same text is another call's.
    pub caller: CallerName,
    /// Service that is called.
    pub service: ServiceName,
    /// Idempotency key of the request.
    pub request: IdempotencyKey,
}

/// SHA-256 of a call's method, path and body.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(pub [u8; 32]);

impl RequestDigest {
    /// Digest of a call.
    pub fn of_call(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestDigest({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

/// Identity of one attempt: no other attempt anywhere has the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// Node that made it.
    pub node: NodeName,
    /// Random number of that node's process run.
    pub process: u64,
    /// Call within that run.
    pub call: CallId,
}

/// Number of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

impl ShardId {
    /// Shard that keeps a key.
    ///
    /// Every node must use the same count, or they would look in different
    /// places for one mark.
    pub fn of_key(key: &CallKey, count: u32) -> Self {
        let mut hasher = XxHash64::with_seed(0);
        for part in [
            key.workspace.as_str(),
            key.caller.as_str(),
            key.service.as_str(),
            key.request.as_str(),
        ] {
            hasher.write(part.as_bytes());
            hasher.write_u8(0);
        }
        let remainder = hasher.finish() % u64::from(count.max(1));
        Self(u32::try_from(remainder).unwrap_or(0))
    }

    /// Where the shard is kept.
    pub fn object_key(self) -> ObjectKey {
        ObjectKey::new(&format!("ledger/shard-{:04}", self.0))
    }
}

/// Count of long periods by which marks age.
///
/// The epoch is kept in one object. A process may raise it only after it has
/// seen the present epoch stand for a whole period on its own monotonic clock,
/// so two epochs are at least a period apart whatever any wall clock says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LedgerEpoch(pub u64);

impl LedgerEpoch {
    /// Where the epoch is kept.
    pub fn object_key() -> ObjectKey {
        ObjectKey::new("ledger/epoch")
    }
}
