//! The `latency` measurement: latency that the gateway adds to the first token and
//! between tokens.
//!
//! Starts the emulators and both daemons as processes, then streams the same
//! calls directly from an engine and through the gateway, alternately.

use clap::Args;
use emulator::{LoadPlan, LoadResult, run_load};

use crate::fleet::{API_KEY, FleetSize, GROUP_SIZE, ProcessFleet};

/// Options of the measurement.
#[derive(Args)]
pub struct LatencyOptions {
    /// Concurrent streams.
    #[arg(long, default_value_t = 32)]
    streams: usize,
    /// Calls of each stream in a turn.
    #[arg(long, default_value_t = 4)]
    calls: usize,
    /// Tokens of each response.
    #[arg(long, default_value_t = 64)]
    tokens: usize,
    /// Turns with each way, direct and through the gateway.
    #[arg(long, default_value_t = 3)]
    turns: usize,
    /// Time between tokens at the engine, in milliseconds.
    #[arg(long, default_value_t = 20)]
    token_ms: u64,
}

/// Runs the measurement and prints its table.
pub fn run(options: &LatencyOptions) {
    let outcome = net::block_on(measure(options)).expect("the event loop starts");
    if let Err(message) = outcome {
        eprintln!("{message}");
        std::process::exit(1);
    }
}

async fn measure(options: &LatencyOptions) -> Result<(), String> {
    let fleet = ProcessFleet::start(FleetSize {
        engines: GROUP_SIZE,
        fabrics: 1,
        token_ms: options.token_ms,
    })
    .await?;
    println!(
        "{} streams, {} calls of {} tokens each a turn, {} ms between tokens at the engine",
        options.streams, options.calls, options.tokens, options.token_ms,
    );
    println!("turn  way      whole  cut  first p50 us  first p95 us  gap p50 us  gap p95 us");
    for turn in 1..=options.turns {
        for (way, target) in [("direct", fleet.engine), ("gateway", fleet.callers()?)] {
            let plan = LoadPlan {
                target,
                key: Some(API_KEY.to_owned()),
                model: "chat".to_owned(),
                streams: options.streams,
                calls: options.calls,
                tokens: options.tokens,
            };
            let result = run_load(&plan, fleet.clock.clone()).await;
            print_row(turn, way, &result);
        }
    }
    Ok(())
}

fn print_row(turn: usize, way: &str, result: &LoadResult) {
    let first = &result.first_token;
    let gap = &result.token_gap;
    println!(
        "{turn:<5} {way:<8} {:>5}  {:>3}  {:>12}  {:>12}  {:>10}  {:>10}",
        result.completed,
        result.truncated,
        first.value_at_quantile(0.50),
        first.value_at_quantile(0.95),
        gap.value_at_quantile(0.50),
        gap.value_at_quantile(0.95),
    );
}
