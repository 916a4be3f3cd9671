//! When a node takes itself for cut off, and for restored.

use base::prelude::*;
use reach::commands::{exclude_node, record_response, record_trouble, repeat_trial, start_trial};
use reach::queries::{choose_node, is_cut_off, is_doubtful, next_trial};
use reach::{PassCandidate, ReachChange, ReachSettings, ReachState};

const KNOWN: usize = 60;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn server(index: usize) -> HostName {
    HostName::new(&format!("i-{index}")).unwrap()
}

fn servers(range: std::ops::Range<usize>) -> Vec<HostName> {
    range.map(server).collect()
}

fn new_state() -> ReachState {
    ReachState::new(ReachSettings::default())
}

/// Trouble with servers at an instant.
fn trouble(state: &mut ReachState, range: std::ops::Range<usize>, millis: u64) {
    for server in servers(range) {
        record_trouble(state, &server, KNOWN, at(millis));
    }
}

/// Runs the trial that is due; connections to these servers open.
fn run_trial(state: &mut ReachState, open: &[usize], millis: u64) -> Option<ReachChange> {
    let chosen = start_trial(state, &servers(0..KNOWN), at(millis));
    assert!(!chosen.is_empty(), "a trial is due");
    let open: Vec<_> = open.iter().copied().map(server).collect();
    let mut change = None;
    for server in chosen {
        let is_reached = open.contains(&server);
        change = record_response(state, &server, is_reached, at(millis + 10)).or(change);
    }
    change
}

fn cut_off_state() -> ReachState {
    let mut state = new_state();
    trouble(&mut state, 0..3, 0);
    assert_eq!(run_trial(&mut state, &[], 0), Some(ReachChange::CutOff));
    state
}

#[test]
fn trouble_with_one_or_two_servers_or_spread_over_time_raises_no_suspicion() {
    let mut state = new_state();
    for millis in (0..5_000).step_by(100) {
        trouble(&mut state, 0..2, millis);
    }
    assert!(!is_doubtful(&state));
    let mut state = new_state();
    for index in 0..20 {
        trouble(&mut state, index..index + 1, index as u64 * 1_100);
    }
    assert!(!is_doubtful(&state));
    assert_eq!(next_trial(&state), None);
}

#[test]
fn a_suspicion_is_settled_by_a_trial_at_servers_that_are_not_in_trouble() {
    // Servers in trouble, servers that can be connected to, and the outcome.
    let cases: [(&str, std::ops::Range<usize>, Vec<usize>, ReachChange); 3] = [
        ("cut off", 0..3, vec![], ReachChange::CutOff),
        (
            "a failure domain is lost",
            0..10,
            (10..60).collect(),
            ReachChange::Dismissed,
        ),
        (
            "most servers are lost",
            0..57,
            vec![58],
            ReachChange::Dismissed,
        ),
    ];
    for (name, troubled, open, expected) in cases {
        let mut state = new_state();
        trouble(&mut state, troubled, 0);
        assert!(is_doubtful(&state), "{name}");
        assert_eq!(run_trial(&mut state, &open, 0), Some(expected), "{name}");
        assert_eq!(
            is_cut_off(&state),
            expected == ReachChange::CutOff,
            "{name}"
        );
    }
}

#[test]
fn a_node_that_knows_one_server_can_be_cut_off_from_it() {
    let mut state = new_state();
    record_trouble(&mut state, &server(0), 1, at(0));
    let chosen = start_trial(&mut state, &servers(0..1), at(0));
    assert_eq!(chosen, servers(0..1));
    let change = record_response(&mut state, &server(0), false, at(250));
    assert_eq!(change, Some(ReachChange::CutOff));
}

#[test]
fn a_suspicion_that_was_dismissed_is_not_raised_again_at_once() {
    let mut state = new_state();
    trouble(&mut state, 0..10, 0);
    run_trial(&mut state, &[20, 10, 11, 12], 0);
    trouble(&mut state, 0..10, 300);
    assert!(!is_doubtful(&state));
    trouble(&mut state, 0..10, 600);
    assert!(is_doubtful(&state));
}

#[test]
fn a_trial_of_an_overloaded_node_is_repeated() {
    let mut state = new_state();
    trouble(&mut state, 0..3, 0);
    let chosen = start_trial(&mut state, &servers(0..KNOWN), at(0));
    repeat_trial(&mut state, at(300));
    assert_eq!(
        record_response(&mut state, &chosen[0], false, at(300)),
        None
    );
    assert_eq!(next_trial(&state), Some(at(300)));
    assert!(!is_cut_off(&state));
}

#[test]
fn a_node_that_is_cut_off_is_restored_by_several_good_trials() {
    let all: Vec<_> = (0..KNOWN).collect();
    let mut state = cut_off_state();
    assert_eq!(next_trial(&state), Some(at(410)));
    assert_eq!(run_trial(&mut state, &[], 410), None);
    assert_eq!(run_trial(&mut state, &all, 900), None);
    // The partition is back, so the good trial no longer counts.
    assert_eq!(run_trial(&mut state, &[], 1_400), None);
    assert_eq!(run_trial(&mut state, &all, 1_900), None);
    assert!(is_cut_off(&state));
    assert_eq!(
        run_trial(&mut state, &all, 2_400),
        Some(ReachChange::Restored)
    );
    assert!(!is_doubtful(&state));
    assert_eq!(next_trial(&state), None);
}

#[test]
fn a_node_that_knows_no_server_is_not_cut_off() {
    let mut state = new_state();
    trouble(&mut state, 0..3, 0);
    assert_eq!(start_trial(&mut state, &[], at(0)), []);
    assert!(!is_cut_off(&state));
    assert!(next_trial(&state).is_some());
}

#[test]
fn requests_are_passed_on_by_near_nodes_that_can() {
    let mut state = cut_off_state();
    let candidate = |name: &str, is_near| PassCandidate {
        node: NodeName::new(name).unwrap(),
        is_near,
    };
    let candidates = [
        candidate("far-1", false),
        candidate("near-1", true),
        candidate("near-2", true),
    ];
    let chosen = |state: &ReachState, millis: u64| {
        let nodes = (0..6).filter_map(|random| choose_node(state, &candidates, random, at(millis)));
        let names: std::collections::BTreeSet<_> =
            nodes.map(|node| node.as_str().to_owned()).collect();
        names.into_iter().collect::<Vec<_>>()
    };
    assert_eq!(chosen(&state, 0), ["near-1", "near-2"]);
    exclude_node(&mut state, candidates[1].node.clone(), at(0));
    assert_eq!(chosen(&state, 0), ["near-2"]);
    exclude_node(&mut state, candidates[2].node.clone(), at(0));
    assert_eq!(chosen(&state, 0), ["far-1"]);
    exclude_node(&mut state, candidates[0].node.clone(), at(0));
    assert_eq!(chosen(&state, 0), [""; 0]);
    assert_eq!(chosen(&state, 4_000), ["near-1", "near-2"]);
}
