//! Short seeded runs of the fault soak, and the seeds that once violated an invariant.

use std::path::PathBuf;

use soak::{SoakOptions, run_seed};

/// Seeds of the short run.
const SEEDS: [u64; 2] = [101, 102];
/// Seconds of fault injection.
const SECONDS: u64 = 6;

fn options(seconds: u64) -> SoakOptions {
    SoakOptions {
        edge: PathBuf::from(env!("CARGO_BIN_EXE_bronzerun-edge")),
        seed: 0,
        seeds: 1,
        seconds,
        nodes: 3,
        rate: 30,
        logs: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
    }
}

#[test]
fn invariants_hold_under_a_short_fault_plan() {
    for seed in SEEDS {
        let report = run_seed(&options(SECONDS), seed).unwrap();
        assert!(report.violations.is_empty(), "{report}");
        assert!(report.all.served > 0, "{report}");
    }
}
