//! Draining endpoints despite lost replies and concurrent updates.

use crate::common::{TestSystem, run_ready};
use base::prelude::*;
use cli::ExitStatus;
use cli::commands::drain::{DrainGoal, set_drain};
use interface::DrainList;
use interface::keys::drains_key;
use store::UpdateFault;

fn drains(system: &TestSystem) -> Vec<String> {
    let list = DrainList::decode(&system.read(&drains_key())).unwrap();
    list.hosts.iter().map(ToString::to_string).collect()
}

fn set(system: &TestSystem, host: &str, goal: DrainGoal) -> ExitStatus {
    let host = HostName::new(host).unwrap();
    match run_ready(set_drain(&system.session(), host, goal)) {
        Ok(outcome) => outcome.status,
        Err(error) => error.status(),
    }
}

#[test]
fn drains_are_stored_and_undone() {
    let system = TestSystem::default();
    for host in ["b", "a", "a"] {
        assert_eq!(set(&system, host, DrainGoal::Drained), ExitStatus::Done);
    }
    assert_eq!(drains(&system), ["a", "b"]);
    for _ in 0..2 {
        assert_eq!(set(&system, "b", DrainGoal::InService), ExitStatus::Done);
    }
    assert_eq!(drains(&system), ["a"]);
}

#[test]
fn store_faults_end_with_the_goal_met_or_an_error() {
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
        let system = TestSystem::default();
        set(&system, "other", DrainGoal::Drained);
        system.store.inject_update_faults(faults.clone());
        assert_eq!(
            set(&system, "a", DrainGoal::Drained),
            expected,
            "{faults:?}"
        );
        let is_drained = drains(&system).contains(&"a".to_owned());
        assert_eq!(is_drained, expected == ExitStatus::Done, "{faults:?}");
        assert!(drains(&system).contains(&"other".to_owned()), "{faults:?}");
    }
}

#[test]
fn an_outage_differs_from_an_unknown_outcome() {
    let system = TestSystem::default();
    system.store.set_down(true);
    assert_eq!(
        set(&system, "a", DrainGoal::Drained),
        ExitStatus::Unavailable
    );
    system.store.set_down(false);
    system
        .store
        .inject_update_faults([Some(UpdateFault::ReplyLost)]);
    let store = system.store.clone();
    let action = move || store.set_down(true);
    system
        .waiter
        .concurrent_actions
        .borrow_mut()
        .push(Box::new(action));
    let report = system.describe(&["endpoint", "drain", "a"]);
    assert!(report.contains("may have taken effect"), "{report}");
    system.store.set_down(false);
    assert_eq!(drains(&system), ["a"]);
}
