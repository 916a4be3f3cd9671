//! Entry point of `bronzerun-soak`.

use std::process::ExitCode;

use clap::Parser;
use soak::{SoakOptions, run_seed};

fn main() -> ExitCode {
    let options = SoakOptions::parse();
    let mut broken = 0;
    for seed in options.seed..options.seed + options.seeds {
        match run_seed(&options, seed) {
            Ok(report) => {
                println!("{report}");
                broken += usize::from(!report.breaches.is_empty());
            }
            Err(fault) => {
                eprintln!("seed {seed} could not be run: {fault}");
                return ExitCode::from(2);
            }
        }
    }
    println!("{} seeds, {broken} with a broken promise", options.seeds);
    ExitCode::from(u8::from(broken > 0))
}
