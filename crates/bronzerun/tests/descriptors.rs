//! What a run of the fault soak leaves open. The count is that of the process, so this test is
//! apart from the others.

use std::path::PathBuf;
use std::time::Duration;

use soak::{Fault, FaultPlan, FaultStep, PlanKind, SoakOptions, run_plan};

fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}

#[test]
fn a_run_leaves_no_descriptor_open() {
    let options = SoakOptions {
        edge: PathBuf::from(env!("CARGO_BIN_EXE_bronzerun-edge")),
        seed: 0,
        seeds: 1,
        seconds: 2,
        nodes: 3,
        rate: 30,
        repeating_clients: 0,
        plan: PlanKind::Generated,
        site: None,
        without_copies: false,
        logs: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
    };
    let steps = [
        Fault::HangConnections,
        Fault::StoreSilent(Duration::from_secs(1)),
        Fault::PauseServers(0, 14, Duration::from_secs(1)),
    ];
    let steps = steps.map(|fault| FaultStep {
        at: Duration::from_millis(500),
        fault,
    });
    let plan = FaultPlan {
        steps: steps.to_vec(),
    };
    let before = open_descriptors();
    let report = run_plan(&options, 122, &plan).unwrap();
    assert!(report.all.served > 0, "{report}");
    assert_eq!(open_descriptors(), before, "{report}");
}
