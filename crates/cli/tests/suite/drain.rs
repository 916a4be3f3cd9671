//! Draining endpoints through lost replies and races.

use crate::common::{World, wait_for};
use base::prelude::*;
use cli::ExitStatus;
use cli::commands::drain::{DrainGoal, set_drain};
use interface::DrainList;
use interface::keys::drains_key;
use store::UpdateFault;

fn drains(world: &World) -> Vec<String> {
    let list = DrainList::decode(&world.read(&drains_key())).unwrap();
    list.hosts.iter().map(ToString::to_string).collect()
}

fn set(world: &World, host: &str, goal: DrainGoal) -> ExitStatus {
    let host = HostName::new(host).unwrap();
    match wait_for(set_drain(&world.session(), host, goal)) {
        Ok(answer) => answer.status,
        Err(error) => error.status(),
    }
}

#[test]
fn drains_are_kept_and_undone() {
    let world = World::default();
    for host in ["b", "a", "a"] {
        assert_eq!(set(&world, host, DrainGoal::Drained), ExitStatus::Done);
    }
    assert_eq!(drains(&world), ["a", "b"]);
    for _ in 0..2 {
        assert_eq!(set(&world, "b", DrainGoal::InService), ExitStatus::Done);
    }
    assert_eq!(drains(&world), ["a"]);
}

#[test]
fn faults_leave_the_goal_met_or_say_so() {
    use UpdateFault::{Conflict, ReplyLost, RequestLost};
    let cases = [
        (vec![Some(Conflict)], ExitStatus::Done),
        (vec![Some(ReplyLost)], ExitStatus::Done),
        (
            vec![Some(RequestLost), Some(Conflict), Some(ReplyLost)],
            ExitStatus::Done,
        ),
        (vec![Some(Conflict); 20], ExitStatus::Conflict),
        (vec![Some(RequestLost); 20], ExitStatus::Unavailable),
    ];
    for (faults, expected) in cases {
        let world = World::default();
        set(&world, "other", DrainGoal::Drained);
        world.store.inject_update_faults(faults.clone());
        assert_eq!(set(&world, "a", DrainGoal::Drained), expected, "{faults:?}");
        let is_drained = drains(&world).contains(&"a".to_owned());
        assert_eq!(is_drained, expected == ExitStatus::Done, "{faults:?}");
        assert!(drains(&world).contains(&"other".to_owned()), "{faults:?}");
    }
}

#[test]
fn an_outage_is_told_apart_from_doubt() {
    let world = World::default();
    world.store.set_down(true);
    assert_eq!(
        set(&world, "a", DrainGoal::Drained),
        ExitStatus::Unavailable
    );
    world.store.set_down(false);
    world
        .store
        .inject_update_faults([Some(UpdateFault::ReplyLost)]);
    let store = world.store.clone();
    let act = move || store.set_down(true);
    world.time.meanwhile.borrow_mut().push(Box::new(act));
    let report = world.describe(&["endpoint", "drain", "a"]);
    assert!(report.contains("may have taken effect"), "{report}");
    world.store.set_down(false);
    assert_eq!(drains(&world), ["a"]);
}
