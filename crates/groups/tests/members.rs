//! Faults of members and hosts, and changes of the host list.

mod world;

use std::time::Duration;

use base::prelude::*;
use groups::{GroupPhase, HostStatus};
use world::{World, desired, host};

const ALL_SERVE: &str = "every group serves again";

fn world_with_groups(hosts: usize, groups: usize) -> World {
    let mut world = World::new(2, hosts, desired(4, groups, true));
    let all_serve = move |world: &World| world.serving(0).len() == groups;
    world.run_until("groups form", all_serve);
    world.run(Duration::from_secs(15));
    world
}

fn is_member(world: &World, index: usize) -> bool {
    world.members().concat().contains(&host(index))
}

#[test]
fn a_group_with_a_lost_member_stops_serving_until_repaired() {
    struct Case {
        name: &'static str,
        inject: fn(&mut World),
        heal: fn(&mut World),
        replaced: bool,
    }
    let cases = [
        Case {
            name: "engine stopped",
            inject: |world| world.engine(0).up = false,
            heal: |_| {},
            replaced: true,
        },
        Case {
            name: "engine paused for longer than the timeout",
            inject: |world| world.engine(0).up = false,
            heal: |world| world.engine(0).up = true,
            replaced: true,
        },
        Case {
            name: "engine restarted at the same address",
            inject: |world| world.engine(0).restart(),
            heal: |_| {},
            replaced: true,
        },
        Case {
            name: "host gone but listed as live",
            inject: |world| {
                world.engines.remove(&host(0));
            },
            heal: |_| {},
            replaced: true,
        },
    ];
    for case in cases {
        let mut world = world_with_groups(9, 2);
        assert!(is_member(&world, 0));
        (case.inject)(&mut world);
        world.run_until("its group stops serving", |world| {
            world.serving(0).len() < 2
        });
        world.run(Duration::from_secs(15));
        (case.heal)(&mut world);
        world.run_until(ALL_SERVE, |world| world.serving(0).len() == 2);
        assert_eq!(!is_member(&world, 0), case.replaced, "{}", case.name);
        world.run(Duration::from_secs(60));
        assert_eq!(world.serving(1).len(), 2, "{}", case.name);
    }
}

#[test]
fn a_restarted_member_is_missing_until_it_rejoins() {
    let mut world = world_with_groups(4, 1);
    let (before, _) = world.stored().unwrap();
    world.engine(0).restart();
    world.run(Duration::from_millis(500));
    assert!(world.serving(0).is_empty());
    world.run_until(ALL_SERVE, |world| world.serving(0).len() == 1);
    let (after, _) = world.stored().unwrap();
    assert_eq!(after.groups[0].members[0].incarnation, HostIncarnation(2));
    assert!(after.groups[0].epoch > before.groups[0].epoch);
}

#[test]
fn a_broken_group_without_spares_waits_for_the_missing_member() {
    let mut world = world_with_groups(4, 1);
    world.engine(0).up = false;
    world.run(Duration::from_secs(60));
    assert_eq!(world.members()[0].len(), 4);
    world.engine(0).restart();
    world.run_until(ALL_SERVE, |world| world.serving(0).len() == 1);
}

#[test]
fn two_broken_groups_are_merged_into_one() {
    let mut world = world_with_groups(8, 2);
    world.engine(0).up = false;
    world.engine(7).up = false;
    world.run_until("one group serves", |world| world.serving(0).len() == 1);
    assert_eq!(world.members().len(), 1);
    world.engine(0).restart();
    world.engine(7).restart();
    world.run_until(ALL_SERVE, |world| world.serving(0).len() == 2);
}

#[test]
fn a_fabric_domain_recovers_after_all_hosts_were_lost() {
    let mut world = world_with_groups(9, 2);
    for index in 0..9 {
        world.engine(index).up = false;
    }
    world.run(Duration::from_secs(60));
    assert!(
        world.holder().is_none(),
        "a node without reports renewed its lease"
    );
    for index in 0..9 {
        world.engine(index).restart();
    }
    world.run_until(ALL_SERVE, |world| world.serving(0).len() == 2);
}

#[test]
fn a_leaving_host_is_replaced_after_its_calls_have_ended() {
    let mut world = world_with_groups(9, 2);
    world.engine(0).load.running = 2;
    world.entries.get_mut(&host(0)).unwrap().status = HostStatus::Leaving;
    world.run(Duration::from_secs(30));
    assert!(is_member(&world, 0), "replaced while calls were running");
    let (record, _) = world.stored().unwrap();
    assert_eq!(record.groups[0].phase, GroupPhase::Draining);
    assert_eq!(world.serving(0).len(), 1);
    world.engine(0).load.running = 0;
    world.run_until(ALL_SERVE, |world| world.serving(0).len() == 2);
    assert!(!is_member(&world, 0));
}

#[test]
fn a_host_that_reports_leaving_gets_no_new_calls() {
    let mut world = world_with_groups(9, 2);
    world.engine(0).leaving = true;
    world.run(Duration::from_secs(1));
    assert_eq!(
        world.serving(0).len(),
        1,
        "the platform still lists the host as live"
    );
    world.run_until(ALL_SERVE, |world| world.serving(0).len() == 2);
    assert!(!is_member(&world, 0));
}

#[test]
fn a_host_that_leaves_during_formation_is_replaced() {
    let mut world = World::new(2, 5, desired(4, 1, true));
    world.run_until("a group is recorded", |world| world.members().len() == 1);
    world.entries.get_mut(&host(0)).unwrap().status = HostStatus::Leaving;
    world.run_until(ALL_SERVE, |world| world.serving(0).len() == 1);
    assert!(!is_member(&world, 0));
}

#[test]
fn a_straggler_is_replaced_once() {
    let mut world = world_with_groups(9, 2);
    for index in 0..9 {
        world.engine(index).load.step_micros = 20_000;
    }
    let spare = (0..9).find(|&index| !is_member(&world, index)).unwrap();
    world.engine(0).load.step_micros = 60_000;
    world.engine(spare).load.step_micros = 60_000;
    world.run(Duration::from_secs(30));
    assert!(
        is_member(&world, 0),
        "replaced before it counts as a straggler"
    );
    world.run(Duration::from_secs(60));
    assert!(!is_member(&world, 0));
    assert!(is_member(&world, spare));
    let (before, _) = world.stored().unwrap();
    world.run(Duration::from_secs(900));
    let (after, _) = world.stored().unwrap();
    assert_eq!(
        after.groups, before.groups,
        "two slow hosts replace each other"
    );
}

#[test]
fn groups_move_to_a_new_model_one_at_a_time() {
    let mut world = world_with_groups(8, 2);
    world.desired.spec.model = ModelName::new("m2").unwrap();
    let updated = |world: &World| {
        let serving = world.serving(0);
        serving.len() == 2 && serving.iter().all(|h| h.group.model.as_str() == "m2")
    };
    for _ in 0..240 {
        if updated(&world) {
            return;
        }
        world.step();
        let (record, _) = world.stored().unwrap();
        let mut groups = record.groups.iter();
        let any_active = groups.any(|group| group.phase == GroupPhase::Active);
        assert!(any_active, "every group drains at the same time");
    }
    panic!("the groups did not move to the new model");
}
