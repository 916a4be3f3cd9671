//! Spread of groups over fabric domains and failure domains.

use std::collections::BTreeMap;

use base::prelude::*;
use document::DeploymentSpec;
use groups::{FabricShape, GroupSettings, spread_groups};

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

fn shape(fabric: &str, domain: &str, hosts: usize, standing: usize) -> FabricShape {
    FabricShape {
        fabric: FabricName::new(fabric).unwrap(),
        domain: DomainName::new(domain).unwrap(),
        hosts,
        standing: BTreeMap::from([(llm(), standing)]),
    }
}

fn counts(shapes: &[FabricShape], spec: DeploymentSpec) -> Vec<usize> {
    let specs = BTreeMap::from([(llm(), spec)]);
    let spread = spread_groups(&specs, shapes, &GroupSettings::default());
    spread
        .values()
        .map(|counts| counts.get(&llm()).copied().unwrap_or(0))
        .collect()
}

#[test]
fn groups_are_spread_over_failure_domains_and_free_hosts() {
    let empty = vec![
        shape("f1", "a", 16, 0),
        shape("f2", "a", 16, 0),
        shape("f3", "b", 16, 0),
    ];
    let standing = vec![
        shape("f1", "a", 16, 3),
        shape("f2", "a", 16, 0),
        shape("f3", "b", 16, 0),
    ];
    let without_hosts = vec![
        shape("f1", "a", 0, 0),
        shape("f2", "a", 16, 2),
        shape("f3", "b", 16, 2),
    ];
    let cases = [
        ("one in each failure domain", &empty, 2, 0.0, [1, 0, 1]),
        ("evenly over failure domains", &empty, 4, 0.0, [1, 1, 2]),
        (
            "by free hosts once the domains are even",
            &empty,
            12,
            0.0,
            [4, 4, 4],
        ),
        (
            "spares are kept for a high downtime weight",
            &empty,
            12,
            0.9,
            [3, 3, 3],
        ),
        ("existing groups stay", &standing, 4, 0.0, [3, 0, 1]),
        (
            "a surplus group is removed where the most exist",
            &standing,
            2,
            0.0,
            [2, 0, 0],
        ),
        (
            "a fabric domain without hosts gets no group",
            &without_hosts,
            6,
            0.0,
            [0, 3, 3],
        ),
    ];
    for (name, shapes, groups, weight, expected) in cases {
        assert_eq!(counts(shapes, spec(groups, weight)), expected, "{name}");
    }
}

#[test]
fn the_order_of_the_input_does_not_matter() {
    let mut shapes = vec![
        shape("f1", "a", 16, 1),
        shape("f2", "b", 12, 0),
        shape("f3", "b", 20, 2),
    ];
    let before = counts(&shapes, spec(7, 0.5));
    shapes.reverse();
    assert_eq!(counts(&shapes, spec(7, 0.5)), before);
}
