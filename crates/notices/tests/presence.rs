//! Servers that leave, and servers that want nothing for a while.

use base::prelude::*;
use notices::commands::{expire, merge_leaving, record_notice};
use notices::queries::{all_leaving, is_leaving, may_send, own_leaving, paused_until};
use notices::{LeavingReport, NoticeChange, NoticeState, ServerNotice, ServerRun};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn run(incarnation: u64) -> ServerRun {
    ServerRun {
        server: HostName::new("i-1").unwrap(),
        incarnation: HostIncarnation(incarnation),
    }
}

fn leaving() -> ServerNotice {
    ServerNotice {
        is_leaving: true,
        ..ServerNotice::default()
    }
}

fn retry_after(seconds: u64) -> ServerNotice {
    ServerNotice {
        retry_after: Some(Duration::from_secs(seconds)),
        ..ServerNotice::default()
    }
}

fn may_use(state: &NoticeState, incarnation: u64, now: ClockTime) -> bool {
    let run = run(incarnation);
    may_send(state, &run.server, run.incarnation, now)
}

#[test]
fn a_server_that_leaves_gets_nothing_even_if_later_responses_dont_say_so() {
    let mut state = NoticeState::new();
    let changes = record_notice(&mut state, &run(1), leaving(), at(0));
    assert_eq!(changes, vec![NoticeChange::Leaving]);
    record_notice(&mut state, &run(1), ServerNotice::default(), at(10));
    assert!(!may_use(&state, 1, at(60_000)));
}

#[test]
fn a_server_that_started_anew_is_not_held_to_its_predecessors_word() {
    let mut state = NoticeState::new();
    record_notice(&mut state, &run(1), leaving(), at(0));
    record_notice(&mut state, &run(1), retry_after(30), at(0));
    assert!(may_use(&state, 2, at(10)));
    assert!(!may_use(&state, 1, at(10)));
}

#[test]
fn a_server_that_leaves_is_known_from_other_nodes_and_reported_only_by_those_that_heard_it() {
    let mut state = NoticeState::new();
    let report = LeavingReport {
        run: run(1),
        heard_at: at(5),
    };
    assert!(merge_leaving(&mut state, &report));
    assert!(!merge_leaving(&mut state, &report));
    assert!(is_leaving(&state, &run(1).server, HostIncarnation(1)));
    assert!(own_leaving(&state).is_empty());
    assert_eq!(all_leaving(&state), vec![report]);
}

#[test]
fn a_server_gets_nothing_for_as_long_as_it_said() {
    // Announcements with the instant and the seconds, and the instant at which the last one ends.
    let cases: [(&[(u64, u64)], u64); 4] = [
        (&[(0, 2)], 2_000),
        (&[(0, 2), (1_000, 2)], 3_000),
        (&[(0, 5), (1_000, 1)], 5_000),
        (&[(0, 3_600)], 60_000),
    ];
    for (announcements, end) in cases {
        let mut state = NoticeState::new();
        for (millis, seconds) in announcements {
            record_notice(&mut state, &run(1), retry_after(*seconds), at(*millis));
        }
        assert!(!may_use(&state, 1, at(end - 1)), "{announcements:?}");
        assert!(may_use(&state, 1, at(end)), "{announcements:?}");
    }
}

#[test]
fn a_response_without_a_time_does_not_end_the_pause() {
    let mut state = NoticeState::new();
    record_notice(&mut state, &run(1), retry_after(2), at(0));
    record_notice(&mut state, &run(1), ServerNotice::default(), at(100));
    let until = paused_until(&state, &run(1).server, HostIncarnation(1), at(200));
    assert_eq!(until, Some(at(2_000)));
}

#[test]
fn announcements_that_are_over_take_no_memory() {
    let mut state = NoticeState::new();
    record_notice(&mut state, &run(1), leaving(), at(0));
    record_notice(&mut state, &run(1), retry_after(1), at(0));
    expire(&mut state, at(121_000));
    assert!(all_leaving(&state).is_empty());
    assert!(may_use(&state, 1, at(121_000)));
}
