//! Limits summed over nodes, without a network.

use base::prelude::*;
use notices::commands::{expire, merge_report, record_limit, set_share, take_turn};
use notices::queries::{all_reports, has_turn, limit_of, own_reports};
use notices::{LimitChange, LimitReport, NodeShare, NoticeState, RequestRate};

const STEP: Duration = Duration::from_millis(25);
const WINDOW: Duration = Duration::from_secs(4);

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).unwrap()
}

fn server(index: usize) -> HostName {
    HostName::new(&format!("i-{index}")).unwrap()
}

fn share(fraction: f64, position: f64) -> NodeShare {
    NodeShare { fraction, position }
}

/// Nodes with equal shares that know a limit from an instant on.
fn nodes(count: usize, limit: f64, known_at: ClockTime) -> Vec<NoticeState> {
    let states = (0..count).map(|index| {
        let mut state = NoticeState::new();
        let position = index as f64 / count as f64;
        set_share(&mut state, share(1.0 / count as f64, position), at(0));
        record_limit(&mut state, &server(0), Some(rate(limit)), known_at);
        state
    });
    states.collect()
}

/// Instants at which the nodes send to the server if they send whenever they may, between two
/// instants.
fn greedy_sends(states: &mut [NoticeState], from: ClockTime, until: ClockTime) -> Vec<ClockTime> {
    let mut sends = Vec::new();
    let mut now = from;
    while now < until {
        for state in states.iter_mut() {
            while has_turn(state, &server(0), now) {
                take_turn(state, &server(0), now);
                sends.push(now);
            }
        }
        now = now + STEP;
    }
    sends
}

fn most_in_a_window(sends: &[ClockTime]) -> usize {
    let counts = sends.iter().enumerate().map(|(index, start)| {
        let rest = &sends[index..];
        rest.iter()
            .take_while(|at| at.since(*start) < WINDOW)
            .count()
    });
    counts.max().unwrap_or(0)
}

#[test]
fn limits_hold_summed_over_any_number_of_nodes() {
    for count in [1, 7, 78, 195, 1_494] {
        for limit in [0.5, 3.7, 40.0] {
            let mut states = nodes(count, limit, at(1_000));
            let sends = greedy_sends(&mut states, at(1_000), at(21_000));
            let most = most_in_a_window(&sends);
            assert!(
                most as f64 <= 4.0 * limit + 2.0,
                "{count} nodes, limit {limit}: {most} in four seconds"
            );
            let usable = 0.9 * 20.0 * limit - 2.0;
            assert!(
                sends.len() as f64 >= usable,
                "{count} nodes, limit {limit}: {} sent",
                sends.len()
            );
        }
    }
}

#[test]
fn a_burst_after_a_pause_stays_within_the_limit() {
    for count in [1, 7, 195, 1_494] {
        let limit = 3.7;
        let mut states = nodes(count, limit, at(0));
        // Nobody sends for 20 s, then everybody does.
        let sends = greedy_sends(&mut states, at(20_000), at(30_000));
        let most = most_in_a_window(&sends);
        assert!(
            most as f64 <= 5.0 * limit + 2.0,
            "{count} nodes: {most} in four seconds"
        );
    }
}

#[test]
fn nodes_with_unequal_shares_keep_the_limit() {
    let limit = 10.0;
    let mut states = nodes(4, limit, at(0));
    for (state, fraction) in states.iter_mut().zip([0.7, 0.2, 0.07, 0.03]) {
        set_share(state, share(fraction, fraction), at(0));
    }
    let sends = greedy_sends(&mut states, at(0), at(20_000));
    assert!(most_in_a_window(&sends) as f64 <= 4.0 * limit + 4.0);
    assert!(sends.len() as f64 >= 0.9 * 20.0 * limit);
}

#[test]
fn a_share_that_grows_adds_no_turns_for_the_past() {
    let mut states = nodes(10, 5.0, at(0));
    let state = &mut states[0];
    set_share(state, share(1.0, 0.0), at(10_000));
    let sends = greedy_sends(&mut states[..1], at(10_000), at(14_000));
    assert!(sends.len() <= 22, "{} sent", sends.len());
}

#[test]
fn a_lower_limit_holds_at_once() {
    let mut states = nodes(1, 50.0, at(0));
    record_limit(&mut states[0], &server(0), Some(rate(1.0)), at(5_000));
    let sends = greedy_sends(&mut states, at(5_000), at(9_000));
    assert!(sends.len() <= 6, "{} sent", sends.len());
}

#[test]
fn a_limit_ends_when_a_response_names_none() {
    let mut state = nodes(7, 0.5, at(0)).remove(0);
    assert!(!has_turn(&state, &server(0), at(10)));
    let change = record_limit(&mut state, &server(0), None, at(20));
    assert_eq!(change, Some(LimitChange::Ended));
    assert!(has_turn(&state, &server(0), at(20)));
}

#[test]
fn a_server_that_never_named_a_limit_is_not_remembered() {
    let mut state = NoticeState::new();
    assert_eq!(record_limit(&mut state, &server(0), None, at(0)), None);
    assert!(all_reports(&state).is_empty());
}

#[test]
fn the_latest_announcement_prevails_whatever_the_order() {
    let named = LimitReport {
        server: server(0),
        limit: Some(rate(2.0)),
        heard_at: at(1_000),
    };
    let ended = LimitReport {
        limit: None,
        heard_at: at(2_000),
        ..named.clone()
    };
    let orders = [[&named, &ended], [&ended, &named]];
    for reports in orders {
        let mut state = NoticeState::new();
        record_limit(&mut state, &server(0), Some(rate(9.0)), at(500));
        for report in reports {
            merge_report(&mut state, report, at(2_100));
        }
        assert_eq!(limit_of(&state, &server(0)), None);
    }
}

#[test]
fn reports_of_others_are_not_passed_on_as_own() {
    let mut state = NoticeState::new();
    let report = LimitReport {
        server: server(0),
        limit: Some(rate(2.0)),
        heard_at: at(1_000),
    };
    merge_report(&mut state, &report, at(1_100));
    assert!(own_reports(&state).is_empty());
    assert_eq!(all_reports(&state), vec![report]);
}

#[test]
fn announcements_end_that_nobody_hears_again() {
    let mut state = NoticeState::new();
    record_limit(&mut state, &server(0), Some(rate(2.0)), at(0));
    assert!(expire(&mut state, at(59_000)).is_empty());
    assert_eq!(expire(&mut state, at(61_000)), vec![server(0)]);
    assert!(has_turn(&state, &server(0), at(61_000)));
}

#[test]
fn memory_is_bounded() {
    let mut state = NoticeState::new();
    for index in 0..20_000 {
        record_limit(&mut state, &server(index), Some(rate(2.0)), at(0));
    }
    assert!(all_reports(&state).len() <= 5_000);
}

#[test]
fn rates_that_are_no_rates_are_refused() {
    for invalid in [-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(RequestRate::new(invalid), None);
    }
    assert!(RequestRate::new(0.0).unwrap().per_second() > 0.0);
    assert!(RequestRate::new(1e300).unwrap().per_second() <= 1_000_000.0);
}

#[test]
fn nodes_that_learn_late_and_nodes_that_start_anew_keep_the_limit() {
    for count in [7, 195] {
        let limit = 2.0;
        let mut states = nodes(count, limit, at(0));
        // A third of the nodes knows the limit only after up to a second, another third starts
        // anew after four seconds.
        let late = |index: usize| at((index * 7_919 % 1_000) as u64);
        for index in (0..count).step_by(3) {
            states[index] = nodes(count, limit, late(index)).swap_remove(index);
        }
        let mut sends = greedy_sends(&mut states, at(1_000), at(4_000));
        for index in (1..count).step_by(3) {
            states[index] = nodes(count, limit, at(4_000)).swap_remove(index);
        }
        sends.extend(greedy_sends(&mut states, at(4_000), at(12_000)));
        let most = most_in_a_window(&sends);
        assert!(
            most as f64 <= 6.0 * limit + 5.0,
            "{count} nodes: {most} in four seconds"
        );
    }
}
