//! Goodput, first-token time and refusals under overload.
//!
//! Drives admission, routing and retry budgets in model time with seeded
//! arrivals and small fake endpoints, beside plain choices on the same
//! arrivals: round robin routing, a first-in-first-out queue without deadlines,
//! retries without a budget and fixed delays.

mod caller;
mod cost;
mod endpoint;
mod managed;
mod model;
mod plain;
mod policy;
mod setup;
mod table;
mod tally;

use clap::Args;

/// Options of the measurement.
#[derive(Args)]
pub struct OverloadOptions {
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print what other settings give instead.
    #[arg(long)]
    variants: bool,
}

/// Runs it and prints its tables.
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
