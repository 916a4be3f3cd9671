//! The `overload` measurement: goodput, first-token time and refusals under overload.
//!
//! Simulates admission, routing and retry budgets in virtual time with seeded
//! arrivals and fake endpoints. A plain policy with the same arrivals is the
//! baseline: round robin routing, a first-in-first-out queue without deadlines,
//! retries without a budget and with fixed delays.

mod caller;
mod cost;
mod endpoint;
mod managed;
mod plain;
mod policy;
mod setup;
mod simulation;
mod table;
mod tally;

use clap::Args;

/// Options of the measurement.
#[derive(Args)]
pub struct OverloadOptions {
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print the results of other settings than the defaults instead.
    #[arg(long)]
    variants: bool,
}

/// Runs the measurement and prints its tables.
pub fn run(options: &OverloadOptions) {
    println!("seed {}", options.seed);
    if options.variants {
        return table::print_variants(options.seed);
    }
    table::print_loads(options.seed);
    table::print_flood(options.seed);
    table::print_failure(options.seed);
    table::print_fleet(options.seed);
    cost::print_costs(options.seed);
}
