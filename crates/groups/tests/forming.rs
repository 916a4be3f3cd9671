//! Formation of groups and the order of loads.

mod world;

use base::prelude::*;
use groups::{GroupSettings, MemberPhase};
use world::{World, desired};

#[test]
fn groups_form_and_serve() {
    let mut world = World::new(2, 9, desired(4, 2, true));
    world.run_until("two groups serve at both nodes", |world| {
        world.serving(0).len() == 2 && world.serving(1).len() == 2
    });
    world.run(Duration::from_secs(30));
    let (record, _) = world.stored().unwrap();
    assert_eq!(record.groups.len(), 2);
    assert_eq!(record.token.0, 1, "one owner throughout");
    assert_eq!(record.standbys.len(), 1);
}

#[test]
fn loads_are_limited_and_complete_one_group_after_the_other() {
    let mut world = World::new(1, 13, desired(6, 2, true));
    let limit = GroupSettings::default().load_limit;
    let mut served_at = Vec::new();
    for step in 0..160 {
        world.step();
        let reports = world.engines.values().map(|e| e.report(world.now));
        let loading = reports.filter(|r| r.phase == MemberPhase::Loading).count();
        assert!(loading <= limit, "{loading} loads at once");
        if world.serving(0).len() > served_at.len() {
            served_at.push(step);
        }
    }
    assert_eq!(served_at.len(), 2);
    assert!(
        served_at[0] < served_at[1],
        "both groups completed in the same step"
    );
    let loaded = world.engines.values().filter(|e| e.model.is_some());
    assert_eq!(
        loaded.count(),
        13,
        "the spare host preloads the model as well"
    );
}

#[test]
fn a_broken_group_of_low_downtime_weight_is_dissolved_for_another_deployment() {
    for (weight, expected) in [(0.2, "light"), (0.8, "llm")] {
        let mut world = World::new(1, 6, desired(6, 1, true));
        world.desired.spec.downtime_weight = weight;
        world.run_until("the group serves", |world| world.serving(0).len() == 1);
        let mut other = desired(4, 1, true);
        other.deployment = DeploymentName::new("light").unwrap();
        world.other_deployments.push(other);
        world.engine(0).up = false;
        world.run(Duration::from_secs(60));
        let (record, _) = world.stored().unwrap();
        assert_eq!(record.groups.len(), 1);
        assert_eq!(record.groups[0].deployment.as_str(), expected);
    }
}

#[test]
fn the_group_that_needs_the_fewest_loads_serves_first() {
    let mut world = World::new(1, 12, desired(6, 2, true));
    world.run_until("both groups serve", |world| world.serving(0).len() == 2);
    let (record, _) = world.stored().unwrap();
    let first = record.groups[0].members.iter().take(5);
    let second = record.groups[1].members.iter().take(1);
    for member in first.chain(second) {
        world.engines.get_mut(&member.host).unwrap().restart();
    }
    world.run_until("neither serves", |world| world.serving(0).is_empty());
    world.run_until("one serves", |world| world.serving(0).len() == 1);
    assert_eq!(world.serving(0)[0].group.group, record.groups[1].group);
}
