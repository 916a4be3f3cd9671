//! The `ledger` measurement: cost of non-idempotent calls.
//!
//! The first table simulates several ledgers with one store in virtual time and
//! counts the reads and writes that calls cause; the case of one shard for each
//! call shows the cost without group commit. The second table gives the processor
//! time and the size of one write by the number of records in its shard.

mod simulation;
mod write;

use std::time::Duration;

use clap::Args;
use ledger::LedgerSettings;

use simulation::{SimulationCase, SimulationReport, run_simulation};

/// Number of shards so large that no two calls share one.
const SHARD_PER_CALL: u32 = 1 << 30;

/// Number of entry hosts, and calls per second over all of them.
const LOADS: [(usize, f64); 3] = [(6, 20.0), (6, 200.0), (100, 200.0)];

/// Number of shards, and whether all calls of a shard go to one node.
const SHARDINGS: [(u32, bool); 5] = [
    (SHARD_PER_CALL, false),
    (4_096, false),
    (256, false),
    (32, false),
    (32, true),
];

/// Options of the measurement.
#[derive(Args)]
pub struct LedgerOptions {
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seconds of virtual time during which calls arrive.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

/// Runs the measurement and prints its tables.
pub fn run(options: &LedgerOptions) {
    println!(
        "seed {}, {} s of virtual time",
        options.seed, options.seconds
    );
    println!(
        "{:>5} {:>7} {:>8} {:>6} {:>8} | {:>7} {:>7} {:>8} {:>9} | {:>8} {:>8} {:>8} | {:>7} {:>7}",
        "nodes",
        "calls/s",
        "latency",
        "shards",
        "affinity",
        "writes/",
        "reads/",
        "writes/s",
        "conflicts",
        "mark p50",
        "mark p99",
        "answer",
        "not run",
        "unclear"
    );
    println!(
        "{:>5} {:>7} {:>8} {:>6} {:>8} | {:>7} {:>7} {:>8} {:>9} | {:>8} {:>8} {:>8} |",
        "", "", "ms", "", "", "call", "call", "", "%", "ms", "ms", "p99 ms"
    );
    for case in cases(options) {
        print_case(&case, &run_simulation(&case));
    }
    write::run();
}

fn cases(options: &LedgerOptions) -> Vec<SimulationCase> {
    let mut cases = Vec::new();
    for latency in [5, 50, 2_000] {
        for (nodes, rate) in LOADS {
            for (shard_count, affinity) in SHARDINGS {
                cases.push(SimulationCase {
                    nodes,
                    rate,
                    latency: Duration::from_millis(latency),
                    settings: LedgerSettings {
                        shard_count,
                        ..LedgerSettings::default()
                    },
                    affinity,
                    duration: Duration::from_secs(options.seconds),
                    seed: options.seed,
                });
            }
        }
    }
    cases
}

fn print_case(case: &SimulationCase, report: &SimulationReport) {
    let calls = report.calls as f64;
    let shards = match case.settings.shard_count {
        SHARD_PER_CALL => "call".to_owned(),
        count => count.to_string(),
    };
    println!(
        "{:>5} {:>7} {:>8} {:>6} {:>8} | {:>7.2} {:>7.2} {:>8.0} {:>9.1} | {:>8.0} {:>8.0} {:>8.0} | {:>7} {:>7}",
        case.nodes,
        case.rate,
        case.latency.as_millis(),
        shards,
        if case.affinity { "yes" } else { "no" },
        report.writes as f64 / calls,
        report.reads as f64 / calls,
        report.writes as f64 / case.duration.as_secs_f64(),
        100.0 * report.conflicts as f64 / report.writes.max(1) as f64,
        millis(report.record_latencies.value_at_quantile(0.5)),
        millis(report.record_latencies.value_at_quantile(0.99)),
        millis(report.response_latencies.value_at_quantile(0.99)),
        report.not_run,
        report.unclear,
    );
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
