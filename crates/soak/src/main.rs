//! Entry point of `bronzerun-soak`.

use std::process::ExitCode;

use clap::Parser;
use platform::load_site;
use soak::{SoakOptions, run_seed, run_site};

fn main() -> ExitCode {
    let options = SoakOptions::parse();
    let site = match options.site.as_deref().map(load_site).transpose() {
        Ok(site) => site,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let mut failed_seeds = 0;
    for seed in options.seed..options.seed + options.seeds {
        let report = match &site {
            Some(site) => run_site(&options, site, seed),
            None => run_seed(&options, seed),
        };
        match report {
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
