//! At-most-once execution of non-idempotent calls.
//!
//! A call is known by its [`CallKey`]. Before its first byte goes to an
//! endpoint, a start mark is written to the shard of that key by a conditional
//! update; whoever finds a mark never sends the call again. [`LedgerState`] is
//! one process's side of this: `commands` take in requests and the store's
//! outcomes and return [`LedgerEffect`] values, `queries` only read.
//!
//! An update that ended unknown keeps its calls in doubt until the shard is
//! seen at a newer version than the update expected. Seeing the expected
//! version again settles nothing, since the update may still arrive; the next
//! write on that version does.
//!
//! A process that finds another's mark still running times it on its own
//! monotonic clock from when it first saw it; nobody's wall clock is trusted. How
//! long a key is remembered is counted in epochs, see [`LedgerEpoch`].

mod commands;
mod effect;
mod error;
mod key;
mod queries;
mod record;
mod settings;
mod state;
mod wire;

pub use effect::{
    CallVerdict, EpochRead, FinishedCall, LedgerEffect, NotRunReason, ShardRead, StartRequest,
};
pub use error::LedgerError;
pub use key::{AttemptId, CallKey, LedgerEpoch, RequestDigest, ShardId};
pub use record::{
    CallPhase, CallRecord, RecordedBody, RecordedHeader, RecordedResponse, ShardContents,
};
pub use settings::LedgerSettings;
pub use state::LedgerState;
pub use wire::{decode_epoch, decode_shard, encode_epoch, encode_shard};
