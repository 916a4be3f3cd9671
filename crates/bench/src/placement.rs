//! The `placement` measurement.

use clap::Args;

/// Options of the measurement.
#[derive(Args)]
pub struct PlacementOptions {
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs it and prints its table.
pub fn run(options: &PlacementOptions) {
    println!("seed {}: not measured yet", options.seed);
}
