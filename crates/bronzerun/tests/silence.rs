//! Fault soak with sound servers that fall silent. The clients send much, so these runs are apart
//! from the others, which share a process.

use std::path::PathBuf;
use std::time::Duration;

use soak::{Fault, FaultPlan, FaultStep, PlanKind, SoakOptions, run_plan};

/// Seconds of fault injection.
const SECONDS: u64 = 6;
/// Requests a second, enough to use up the retries of a silence.
const RATE: u64 = 90;

fn options() -> SoakOptions {
    SoakOptions {
        edge: PathBuf::from(env!("CARGO_BIN_EXE_bronzerun-edge")),
        seed: 0,
        seeds: 1,
        seconds: SECONDS,
        nodes: 3,
        rate: RATE,
        repeating_clients: 2,
        plan: PlanKind::Generated,
        site: None,
        without_copies: false,
        logs: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
    }
}

/// Whether streams arrive whole while this many servers fall silent again and again, beside
/// changes of the configuration.
fn check_silent_servers(seed: u64, servers: usize) {
    let silence = Duration::from_millis(1_200);
    let silences = [300, 2_200, 4_100].into_iter().flat_map(|at| {
        [
            (at, Fault::PauseServers(0, servers, silence)),
            (at + 300, Fault::ChangeConfig),
        ]
    });
    let steps = silences.map(|(millis, fault)| FaultStep {
        at: Duration::from_millis(millis),
        fault,
    });
    let plan = FaultPlan {
        steps: steps.collect(),
    };
    let report = run_plan(&options(), seed, &plan).unwrap();
    assert!(report.violations.is_empty(), "{report}");
    assert!(report.all.served > 0, "{report}");
}

#[test]
fn streams_are_not_cut_while_all_servers_are_silent() {
    check_silent_servers(118, 14);
}

#[test]
fn streams_are_not_cut_while_most_servers_are_silent() {
    check_silent_servers(119, 9);
}
