//! Faults of members, of hosts and of the list.

mod world;

use std::time::Duration;

use base::prelude::*;
use groups::{GroupPhase, HostStatus};
use world::{World, host, target};

const WHOLE: &str = "every group serves again";

fn formed(hosts: usize, groups: usize) -> World {
    let mut world = World::new(2, hosts, target(4, groups, true));
    let settled = move |world: &World| world.serving(0).len() == groups;
    world.run_until("groups form", settled);
    world.run(Duration::from_secs(15));
    world
}

fn is_member(world: &World, index: usize) -> bool {
    world.members().concat().contains(&host(index))
}

#[test]
fn a_lost_member_stops_its_group_until_replaced() {
    struct Case {
        name: &'static str,
        strike: fn(&mut World),
        mend: fn(&mut World),
        replaced: bool,
    }
    let cases = [
        Case {
            name: "dead",
            strike: |world| world.engine(0).up = false,
            mend: |_| {},
            replaced: true,
        },
        Case {
            name: "paused past its deadline",
            strike: |world| world.engine(0).up = false,
            mend: |world| world.engine(0).up = true,
            replaced: true,
        },
        Case {
            name: "restarted under the same address",
            strike: |world| world.engine(0).restart(),
            mend: |_| {},
            replaced: true,
        },
        Case {
            name: "listed live but gone",
            strike: |world| {
                world.engines.remove(&host(0));
            },
            mend: |_| {},
            replaced: true,
        },
    ];
    for case in cases {
        let mut world = formed(9, 2);
        assert!(is_member(&world, 0));
        (case.strike)(&mut world);
        world.run_until("its group stops", |world| world.serving(0).len() < 2);
        world.run(Duration::from_secs(15));
        (case.mend)(&mut world);
        world.run_until(WHOLE, |world| world.serving(0).len() == 2);
        assert_eq!(!is_member(&world, 0), case.replaced, "{}", case.name);
        world.run(Duration::from_secs(60));
        assert_eq!(world.serving(1).len(), 2, "{}", case.name);
    }
}

#[test]
fn a_restarted_member_is_missing_until_put_back() {
    let mut world = formed(4, 1);
    let (before, _) = world.stored().unwrap();
    world.engine(0).restart();
    world.run(Duration::from_millis(500));
    assert!(world.serving(0).is_empty());
    world.run_until(WHOLE, |world| world.serving(0).len() == 1);
    let (after, _) = world.stored().unwrap();
    assert_eq!(after.groups[0].members[0].incarnation, HostIncarnation(2));
    assert!(after.groups[0].epoch > before.groups[0].epoch);
}

#[test]
fn a_broken_group_without_spares_waits_for_its_member() {
    let mut world = formed(4, 1);
    world.engine(0).up = false;
    world.run(Duration::from_secs(60));
    assert_eq!(world.members()[0].len(), 4);
    world.engine(0).restart();
    world.run_until(WHOLE, |world| world.serving(0).len() == 1);
}

#[test]
fn two_broken_groups_make_one_whole() {
    let mut world = formed(8, 2);
    world.engine(0).up = false;
    world.engine(7).up = false;
    world.run_until("one group serves", |world| world.serving(0).len() == 1);
    assert_eq!(world.members().len(), 1);
    world.engine(0).restart();
    world.engine(7).restart();
    world.run_until(WHOLE, |world| world.serving(0).len() == 2);
}

#[test]
fn a_dark_fabric_domain_comes_back() {
    let mut world = formed(9, 2);
    for index in 0..9 {
        world.engine(index).up = false;
    }
    world.run(Duration::from_secs(60));
    assert!(world.holder().is_none(), "a blind node keeps no lease");
    for index in 0..9 {
        world.engine(index).restart();
    }
    world.run_until(WHOLE, |world| world.serving(0).len() == 2);
}

#[test]
fn a_leaving_host_is_replaced_after_its_calls() {
    let mut world = formed(9, 2);
    world.engine(0).load.running = 2;
    world.entries.get_mut(&host(0)).unwrap().status = HostStatus::Leaving;
    world.run(Duration::from_secs(30));
    assert!(is_member(&world, 0), "its calls still run");
    let (record, _) = world.stored().unwrap();
    assert_eq!(record.groups[0].phase, GroupPhase::Draining);
    assert_eq!(world.serving(0).len(), 1);
    world.engine(0).load.running = 0;
    world.run_until(WHOLE, |world| world.serving(0).len() == 2);
    assert!(!is_member(&world, 0));
}

#[test]
fn a_host_that_says_it_leaves_gets_no_new_work() {
    let mut world = formed(9, 2);
    world.engine(0).leaving = true;
    world.run(Duration::from_secs(1));
    assert_eq!(world.serving(0).len(), 1, "the list still calls it live");
    world.run_until(WHOLE, |world| world.serving(0).len() == 2);
    assert!(!is_member(&world, 0));
}

#[test]
fn a_host_that_leaves_while_its_group_forms_is_replaced() {
    let mut world = World::new(2, 5, target(4, 1, true));
    world.run_until("a group is recorded", |world| world.members().len() == 1);
    world.entries.get_mut(&host(0)).unwrap().status = HostStatus::Leaving;
    world.run_until(WHOLE, |world| world.serving(0).len() == 1);
    assert!(!is_member(&world, 0));
}

#[test]
fn a_straggler_is_replaced_once() {
    let mut world = formed(9, 2);
    for index in 0..9 {
        world.engine(index).load.step_micros = 20_000;
    }
    let spare = (0..9).find(|&index| !is_member(&world, index)).unwrap();
    world.engine(0).load.step_micros = 60_000;
    world.engine(spare).load.step_micros = 60_000;
    world.run(Duration::from_secs(30));
    assert!(is_member(&world, 0), "slow for too short a time");
    world.run(Duration::from_secs(60));
    assert!(!is_member(&world, 0));
    assert!(is_member(&world, spare));
    let (before, _) = world.stored().unwrap();
    world.run(Duration::from_secs(900));
    let (after, _) = world.stored().unwrap();
    assert_eq!(after.groups, before.groups, "two slow hosts trade places");
}

#[test]
fn groups_move_to_a_new_model_one_at_a_time() {
    let mut world = formed(8, 2);
    world.target.spec.model = ModelName::new("m2").unwrap();
    let renewed = |world: &World| {
        let serving = world.serving(0);
        serving.len() == 2 && serving.iter().all(|h| h.group.model.as_str() == "m2")
    };
    for _ in 0..240 {
        if renewed(&world) {
            return;
        }
        world.step();
        let (record, _) = world.stored().unwrap();
        let mut groups = record.groups.iter();
        let whole = groups.any(|group| group.phase == GroupPhase::Active);
        assert!(whole, "every group drains at once");
    }
    panic!("the groups never moved");
}
