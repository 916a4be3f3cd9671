//! Identities of calls, attempts, shards and epochs.

use std::fmt;
use std::hash::Hasher;

use base::prelude::*;
use sha2::{Digest, Sha256};
use store::ObjectKey;
use twox_hash::XxHash64;

/// Identity of a non-idempotent call, the same for all clients and nodes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Caller; equal idempotency keys of two callers identify different calls.
    pub caller: CallerName,
    /// Called service.
    pub service: ServiceName,
    /// Idempotency key of the request.
    pub request: IdempotencyKey,
}

/// SHA-256 of a call's method, path and body.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(pub [u8; 32]);

impl RequestDigest {
    /// Digest of a call; each part is preceded by its length.
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

/// Globally unique identity of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// Node that makes the attempt.
    pub node: NodeName,
    /// Random number of the node's process.
    pub process: u64,
    /// Call within that process.
    pub call: CallId,
}

/// Number of a shard, from zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

impl ShardId {
    /// Shard that holds the record of a key.
    ///
    /// All nodes must use the same `count`; otherwise they would look for the same
    /// record in different shards.
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

    /// Key of the shard's object in the store.
    pub fn object_key(self) -> ObjectKey {
        ObjectKey::new(&format!("ledger/shard-{:04}", self.0))
    }
}

/// Logical clock by which records expire.
///
/// The epoch is kept in one object. A process may advance it only after it has
/// seen the present epoch unchanged for a whole period on its own monotonic clock.
/// Two epochs are therefore at least a period apart, independent of any wall clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LedgerEpoch(pub u64);

impl LedgerEpoch {
    /// Key of the epoch's object in the store.
    pub fn object_key() -> ObjectKey {
        ObjectKey::new("ledger/epoch")
    }
}
