//! Entry point of `bronzerun-soak`.

use std::process::ExitCode;

use clap::Parser;
use soak::{SoakOptions, run_seed};

fn main() -> ExitCode {
    let options = SoakOptions::parse();
    let mut failed_seeds = 0;
    for seed in options.seed..options.seed + options.seeds {
        match run_seed(&options, seed) {
            Ok(report) => {
                println!("{report}");
                failed_seeds += usize::from(!report.violations.is_empty());
            }
            Err(error) => {
                eprintln!("seed {seed} could not be run: {error}");
                return ExitCode::from(2);
            }
        }
    }
    println!(
        "{} seeds, {failed_seeds} with invariant violations",
        options.seeds
    );
    ExitCode::from(u8::from(failed_seeds > 0))
}
