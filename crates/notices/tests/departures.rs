//! Departures of servers, read by this node or reported by others.

use base::prelude::*;
use notices::{Departure, DepartureState, ReportScope, ServerRun};

fn departure(server: &str, incarnation: u64, revision: u64, read_at: u64) -> Departure {
    Departure {
        run: ServerRun {
            server: HostName::new(server).unwrap(),
            incarnation: HostIncarnation(incarnation),
        },
        revision: ObjectVersion(revision),
        read_at: ClockTime::from_millis(read_at),
    }
}

fn has_departed(state: &DepartureState, incarnation: u64, revision: ObjectVersion) -> bool {
    let server = HostName::new("i-1").unwrap();
    state.has_departed(&server, HostIncarnation(incarnation), revision)
}

#[test]
fn a_departure_holds_for_that_run_until_the_view_is_as_new() {
    let mut state = DepartureState::new();
    assert!(state.record(departure("i-1", 1, 50, 0), false));
    for (incarnation, revision, expected) in [
        (1, 49, true),
        (1, 50, false),
        (1, 51, false),
        (2, 49, false),
    ] {
        let found = has_departed(&state, incarnation, ObjectVersion(revision));
        assert_eq!(found, expected, "{incarnation}, {revision}");
    }
}

#[test]
fn the_departure_that_was_read_last_prevails_whatever_the_order_of_messages() {
    // Departures in the order of their arrival, and whether each is news.
    let cases = [
        ([(1, 50), (1, 50)], [true, false]),
        ([(1, 50), (1, 40)], [true, false]),
        ([(1, 40), (1, 50)], [true, true]),
        ([(2, 50), (1, 40)], [true, false]),
        ([(1, 40), (2, 50)], [true, true]),
    ];
    for (departures, expected) in cases {
        let mut state = DepartureState::new();
        let news = departures.map(|(incarnation, revision)| {
            state.record(departure("i-1", incarnation, revision, 0), false)
        });
        assert_eq!(news, expected, "{departures:?}");
    }
}

#[test]
fn a_view_of_a_restored_store_is_newer_than_departures_of_before() {
    let mut state = DepartureState::new();
    state.record(departure("i-1", 1, 50, 0), false);
    assert!(!has_departed(&state, 1, ObjectVersion::in_era(1, 20)));
    let restored = Departure {
        revision: ObjectVersion::in_era(1, 30),
        ..departure("i-1", 1, 0, 0)
    };
    assert!(state.record(restored, false));
    assert!(has_departed(&state, 1, ObjectVersion(60)));
    assert!(!has_departed(&state, 1, ObjectVersion::in_era(1, 30)));
}

#[test]
fn only_recent_departures_are_reported_and_those_of_others_only_by_nodes_that_pass_them_on() {
    let mut state = DepartureState::new();
    state.record(departure("i-1", 1, 50, 1_000), true);
    state.record(departure("i-2", 1, 51, 2_000), false);
    let mut names = |scope, now| -> Vec<String> {
        let reported = state.reported(scope, 32, ClockTime::from_millis(now));
        let names = reported.iter();
        names
            .map(|departure| departure.run.server.as_str().to_owned())
            .collect()
    };
    assert_eq!(names(ReportScope::All, 3_000), ["i-2", "i-1"]);
    assert_eq!(names(ReportScope::Own, 3_000), ["i-1"]);
    assert_eq!(names(ReportScope::All, 16_500), ["i-2"]);
}

#[test]
fn the_number_of_reported_departures_does_not_grow_with_the_servers() {
    let mut state = DepartureState::new();
    for index in 0..700 {
        state.record(departure(&format!("i-{index}"), 1, 50, index), true);
    }
    let reported = state.reported(ReportScope::All, 32, ClockTime::from_millis(1_000));
    assert_eq!(reported.len(), 32);
    assert_eq!(reported[0].run.server.as_str(), "i-699");
}

#[test]
fn departures_that_are_over_take_no_memory() {
    let mut state = DepartureState::new();
    state.record(departure("i-1", 1, 50, 0), true);
    state.expire(ClockTime::from_millis(119_000));
    assert!(has_departed(&state, 1, ObjectVersion(0)));
    state.expire(ClockTime::from_millis(121_000));
    assert!(!has_departed(&state, 1, ObjectVersion(0)));
}
