//! Short run of the fault soak in the shape of a site, with servers in trouble.

use std::path::{Path, PathBuf};

use platform::load_site;
use soak::{PlanKind, SoakOptions, run_site};

/// Seconds of fault injection.
const SECONDS: u64 = 12;

#[test]
fn answers_and_runs_of_requests_agree_while_servers_of_a_site_are_in_trouble() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/sites/harbour.toml");
    let site = load_site(&path).unwrap();
    let options = SoakOptions {
        edge: PathBuf::from(env!("CARGO_BIN_EXE_bronzerun-edge")),
        seed: 0,
        seeds: 1,
        seconds: SECONDS,
        nodes: site.nodes.len(),
        rate: 0,
        repeating_clients: 0,
        plan: PlanKind::Generated,
        site: Some(path),
        without_copies: false,
        logs: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
    };
    let report = run_site(&options, &site, 141).unwrap();
    assert!(report.violations.is_empty(), "{report}");
    let judged = report.judged;
    assert!(judged.runs > 0 && judged.server_refusals > 0, "{report}");
    assert!(report.copies.written > 0, "{report}");
}
