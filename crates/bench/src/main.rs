//! Measurements of the decision code.
//!
//! Every subcommand prints its seeds and one table, and drives the same code
//! that the daemons run from tables and small fakes.

mod document;
mod fleet;
mod latency;
mod ledger;
mod overload;
mod peers;
mod placement;
mod slopes;

use clap::{Parser, Subcommand};

/// Measures bronzerun's decisions.
#[derive(Parser)]
#[command(name = "bronzerun-bench", version)]
struct BenchOptions {
    #[command(subcommand)]
    measurement: Measurement,
}

#[derive(Subcommand)]
enum Measurement {
    /// Group downtime and stranded accelerators under recorded faults.
    Placement(placement::PlacementOptions),
    /// Goodput, first-token time and refusals under overload.
    Overload(overload::OverloadOptions),
    /// Non-idempotent calls against writes to the store.
    Ledger(ledger::LedgerOptions),
    /// What a change of one section costs a daemon.
    Document(document::DocumentOptions),
    /// What the gateway adds to the first token and between tokens.
    Latency(latency::LatencyOptions),
    /// Messages, time and memory of a node's control traffic.
    Peers(peers::PeersOptions),
    /// What the daemons cost as processes, by size.
    Slopes(slopes::SlopesOptions),
}

fn main() {
    match BenchOptions::parse().measurement {
        Measurement::Placement(options) => placement::run(&options),
        Measurement::Overload(options) => overload::run(&options),
        Measurement::Ledger(options) => ledger::run(&options),
        Measurement::Document(options) => document::run(&options),
        Measurement::Latency(options) => latency::run(&options),
        Measurement::Peers(options) => peers::run(&options),
        Measurement::Slopes(options) => slopes::run(&options),
    }
}
