//! At-most-once execution of non-idempotent calls.
//!
//! A call is identified by its [`CallKey`]. Before its first byte is sent to an
//! endpoint, a start record is written to the shard of that key by conditional
//! update; a process that finds a record never sends the call again. [`LedgerState`]
//! is the state of one process: `commands` process requests and the store's
//! outcomes and return [`LedgerEffect`] values, `queries` only read.
//!
//! After an update with an unknown outcome, its calls stay unresolved until the
//! shard is read at a newer version than the update expected. Reading the expected
//! version again resolves nothing, since the update may still arrive; the next
//! write on that version prevents that.
//!
//! A process that finds the running record of another attempt measures its age on
//! its own monotonic clock from the first time it saw the record; no wall clock is
//! trusted. Keys are retained for a number of epochs, see [`LedgerEpoch`].

mod commands;
mod contents;
mod effect;
mod error;
mod key;
mod queries;
mod settings;
mod state;
mod wire;

pub use contents::{
    CallPhase, CallRecord, RecordedBody, RecordedHeader, RecordedResponse, ShardContents,
};
pub use effect::{
    CallVerdict, EpochRead, FinishedCall, LedgerEffect, NotRunReason, ShardRead, StartRequest,
};
pub use error::LedgerError;
pub use key::{AttemptId, CallKey, LedgerEpoch, RequestDigest, ShardId};
pub use settings::LedgerSettings;
pub use state::LedgerState;
pub use wire::{decode_epoch, decode_shard, encode_epoch, encode_shard};
