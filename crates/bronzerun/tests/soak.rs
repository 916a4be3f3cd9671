//! Short seeded runs of the soak test with injected faults, and the seeds that
//! once violated a guarantee.

use std::path::PathBuf;

use soak::{SoakOptions, run_seed};

const SEEDS: [u64; 2] = [101, 102];
/// Duration of the fault phase.
const FAULT_SECONDS: u64 = 6;

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
fn guarantees_hold_under_a_short_plan_of_faults() {
    for seed in SEEDS {
        let report = run_seed(&options(FAULT_SECONDS), seed).unwrap();
        assert!(report.breaches.is_empty(), "{report}");
        assert!(report.all.served > 0, "{report}");
    }
}
