//! How groups are spread over fabric domains and failure domains.

use std::collections::BTreeMap;

use base::prelude::*;
use document::DeploymentSpec;
use groups::{FabricSummary, GroupSettings, spread_groups};

fn llm() -> DeploymentName {
    DeploymentName::new("llm").unwrap()
}

fn spec(group_count: usize, downtime_weight: f64) -> DeploymentSpec {
    DeploymentSpec {
        model: ModelName::new("m1").unwrap(),
        group_size: 4,
        group_count,
        downtime_weight,
        checks_fencing: true,
        stream_limit: 8,
    }
}

fn summary(fabric: &str, domain: &str, hosts: usize, standing: usize) -> FabricSummary {
    FabricSummary {
        fabric: FabricName::new(fabric).unwrap(),
        domain: DomainName::new(domain).unwrap(),
        hosts,
        existing: BTreeMap::from([(llm(), standing)]),
    }
}

fn counts(summaries: &[FabricSummary], spec: DeploymentSpec) -> Vec<usize> {
    let specs = BTreeMap::from([(llm(), spec)]);
    let spread = spread_groups(&specs, summaries, &GroupSettings::default());
    spread
        .values()
        .map(|counts| counts.get(&llm()).copied().unwrap_or(0))
        .collect()
}

#[test]
fn groups_are_spread_as_the_table_says() {
    let empty = vec![
        summary("f1", "a", 16, 0),
        summary("f2", "a", 16, 0),
        summary("f3", "b", 16, 0),
    ];
    let standing = vec![
        summary("f1", "a", 16, 3),
        summary("f2", "a", 16, 0),
        summary("f3", "b", 16, 0),
    ];
    let dark = vec![
        summary("f1", "a", 0, 0),
        summary("f2", "a", 16, 2),
        summary("f3", "b", 16, 2),
    ];
    let cases = [
        ("one in each failure domain", &empty, 2, 0.0, [1, 0, 1]),
        ("evenly over failure domains", &empty, 4, 0.0, [1, 1, 2]),
        ("the room decides in the end", &empty, 12, 0.0, [4, 4, 4]),
        ("spares are kept for downtime", &empty, 12, 0.9, [3, 3, 3]),
        ("what stands stays", &standing, 4, 0.0, [3, 0, 1]),
        (
            "a surplus goes where most stand",
            &standing,
            2,
            0.0,
            [2, 0, 0],
        ),
        ("a dark fabric domain is left out", &dark, 6, 0.0, [0, 3, 3]),
    ];
    for (name, summaries, groups, weight, expected) in cases {
        assert_eq!(counts(summaries, spec(groups, weight)), expected, "{name}");
    }
}

#[test]
fn the_order_of_the_input_does_not_matter() {
    let mut summaries = vec![
        summary("f1", "a", 16, 1),
        summary("f2", "b", 12, 0),
        summary("f3", "b", 20, 2),
    ];
    let before = counts(&summaries, spec(7, 0.5));
    summaries.reverse();
    assert_eq!(counts(&summaries, spec(7, 0.5)), before);
}
