//! What changes a ledger's state.
//!
//! `begin`, `finish` and `withdraw` take a call from its request to its end;
//! `conclude` takes in the store's outcomes, `epoch` those about the epoch; `expire` acts on deadlines. All of
//! them end in `settle`, which tells calls what a shard's contents mean for
//! them, and `pump`, which decides the next call to the store.

mod begin;
mod conclude;
mod epoch;
mod expire;
mod finish;
mod pump;
mod settle;
mod write;
