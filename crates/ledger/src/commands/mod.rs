//! Commands that change the ledger's state.
//!
//! `begin` and `finish` handle the start, end and withdrawal of calls, `complete`
//! and `epoch` the outcomes of requests to the store, `expire` the deadlines. All of
//! them end in `resolve`, which decides each call from its shard's contents, and
//! `shard_requests`, which starts the next request to the store.

mod begin;
mod complete;
mod draft;
mod epoch;
mod expire;
mod finish;
mod resolve;
mod shard_requests;
