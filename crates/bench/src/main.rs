//! Benchmarks and simulations.
//!
//! Every subcommand prints its seed or sizes and its tables. Most of them run the
//! decision code of the daemons against simulated engines, hosts and stores;
//! `latency` and `slopes` measure the daemons as processes.

mod document;
mod fleet;
mod latency;
mod ledger;
mod overload;
mod peers;
mod placement;
mod slopes;

use clap::{Parser, Subcommand};

/// Measures bronzerun's decision code and daemons.
#[derive(Parser)]
#[command(name = "bronzerun-bench", version)]
struct BenchOptions {
    #[command(subcommand)]
    measurement: Measurement,
}

#[derive(Subcommand)]
enum Measurement {
    /// Group downtime and stranded accelerators under generated faults.
    Placement(placement::PlacementOptions),
    /// Goodput, first-token time and refusals under overload.
    Overload(overload::OverloadOptions),
    /// Store writes and latency of non-idempotent calls.
    Ledger(ledger::LedgerOptions),
    /// Processor time that a change of one section costs a daemon.
    Document(document::DocumentOptions),
    /// Latency that the gateway adds to the first token and between tokens.
    Latency(latency::LatencyOptions),
    /// Messages, processor time and memory of a node's control traffic.
    Peers(peers::PeersOptions),
    /// Processor time and memory of the daemon processes by size.
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
