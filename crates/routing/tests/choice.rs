//! Choice of targets: single cases.

use base::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use routing::commands::{
    begin, begin_beside, finish, finish_attempt, mark_leaving, observe_cache, observe_load,
    set_node_count, set_targets,
};
use routing::queries::{RouteQuery, choose, count_local};
use routing::{
    BlockHash, CacheChange, CacheEvent, LoadSample, RouteSettings, RoutingState, TargetId,
    TargetSpec, hash_prefix,
};

fn target(name: &str) -> TargetId {
    TargetId::Group(GroupName::new(name).expect("valid name"))
}

fn spec(name: &str, incarnation: u64) -> TargetSpec {
    TargetSpec {
        target: target(name),
        incarnation,
        slots: 8,
    }
}

fn state(names: &[&str]) -> RoutingState {
    let mut state = RoutingState::new(RouteSettings::default(), StdRng::seed_from_u64(1));
    let specs = names.iter().map(|name| spec(name, 1)).collect();
    set_targets(&mut state, specs, ClockTime(0));
    state
}

fn choose_for(state: &RoutingState, call: u64, prefix: &[BlockHash]) -> Option<TargetId> {
    let query = RouteQuery {
        call: CallId(call),
        prefix,
        excluded: &[],
    };
    choose(state, ClockTime(0), &query).map(|choice| choice.target)
}

fn stored(sequence: u64, prefix: &[BlockHash]) -> CacheEvent {
    CacheEvent {
        sequence,
        change: CacheChange::Stored(prefix.to_vec()),
    }
}

#[test]
fn without_targets_there_is_no_choice() {
    assert_eq!(choose_for(&state(&[]), 1, &[]), None);
}

#[test]
fn excluded_targets_are_not_chosen() {
    let state = state(&["g1", "g2"]);
    for call in 0..50 {
        let query = RouteQuery {
            call: CallId(call),
            prefix: &[],
            excluded: &[target("g1")],
        };
        let choice = choose(&state, ClockTime(0), &query).expect("one target is not excluded");
        assert_eq!(choice.target, target("g2"));
    }
}

#[test]
fn a_leaving_target_gets_no_calls_until_it_restarts() {
    let mut state = state(&["g1"]);
    mark_leaving(&mut state, &target("g1"), ClockTime(0));
    assert_eq!(choose_for(&state, 1, &[]), None);
    set_targets(&mut state, vec![], ClockTime(1));
    set_targets(&mut state, vec![spec("g1", 1)], ClockTime(2));
    assert_eq!(
        choose_for(&state, 2, &[]),
        None,
        "an outdated list still contains the target"
    );
    set_targets(&mut state, vec![spec("g1", 2)], ClockTime(3));
    assert_eq!(choose_for(&state, 3, &[]), Some(target("g1")));
}

#[test]
fn reported_load_and_local_calls_make_a_target_less_preferred() {
    let mut state = state(&["g1", "g2"]);
    let busy = LoadSample {
        running: 8,
        waiting: 4,
    };
    observe_load(&mut state, &target("g1"), busy, ClockTime(0));
    observe_load(
        &mut state,
        &target("g2"),
        LoadSample::default(),
        ClockTime(0),
    );
    assert_eq!(choose_for(&state, 1, &[]), Some(target("g2")));
    observe_load(
        &mut state,
        &target("g1"),
        LoadSample::default(),
        ClockTime(1),
    );
    begin(&mut state, CallId(7), &target("g2"));
    assert_eq!(choose_for(&state, 1, &[]), Some(target("g1")));
    finish(&mut state, CallId(7));
    assert_eq!(count_local(&state, &target("g2")), 0);
}

#[test]
fn each_open_attempt_of_a_call_takes_a_slot() {
    let mut state = state(&["g1", "g2"]);
    let call = CallId(7);
    let count = |state: &RoutingState| {
        let names = ["g1", "g2"];
        names.map(|name| count_local(state, &target(name)))
    };
    begin(&mut state, call, &target("g1"));
    begin_beside(&mut state, call, &target("g2"));
    assert_eq!(count(&state), [1, 1]);
    finish_attempt(&mut state, call, &target("g1"));
    finish_attempt(&mut state, call, &target("g1"));
    assert_eq!(count(&state), [0, 1]);
    begin_beside(&mut state, call, &target("g1"));
    finish(&mut state, call);
    assert_eq!(count(&state), [0, 0]);
}

#[test]
fn a_target_with_a_cached_prefix_is_preferred_until_an_event_is_missed() {
    let prefix = hash_prefix(&[7; 4_096], 64);
    let names = ["g1", "g2", "g3", "g4", "g5", "g6"];
    for name in names {
        let mut state = state(&names);
        observe_cache(&mut state, &target(name), stored(1, &prefix));
        let query = RouteQuery {
            call: CallId(1),
            prefix: &prefix,
            excluded: &[],
        };
        let choice = choose(&state, ClockTime(0), &query).expect("a target can take the call");
        assert_eq!(choice.target, target(name));
        assert_eq!(choice.cached_blocks, prefix.len());
        observe_cache(&mut state, &target(name), stored(3, &[]));
        let choice = choose(&state, ClockTime(0), &query).expect("a target can take the call");
        assert_eq!(
            choice.cached_blocks, 0,
            "the missed event 2 may have removed the blocks"
        );
    }
}

#[test]
fn a_cache_with_unknown_contents_is_preferred_to_an_empty_one() {
    let prefix = hash_prefix(&[7; 4_096], 64);
    let mut state = state(&["g1", "g2"]);
    let cleared = CacheEvent {
        sequence: 1,
        change: CacheChange::Cleared,
    };
    observe_cache(&mut state, &target("g1"), cleared.clone());
    assert_eq!(choose_for(&state, 1, &prefix), Some(target("g2")));
    observe_cache(&mut state, &target("g2"), cleared);
    observe_cache(&mut state, &target("g1"), stored(3, &[]));
    assert_eq!(choose_for(&state, 1, &prefix), Some(target("g1")));
}

#[test]
fn prompts_share_hashes_up_to_their_first_difference() {
    let left = hash_prefix(b"aaaabbbbccccd", 4);
    let right = hash_prefix(b"aaaaxxxxcccc", 4);
    assert_eq!(left.len(), 3);
    assert_eq!(left[0], right[0]);
    assert_ne!(left[1], right[1]);
    assert_ne!(left[2], right[2]);
}

#[test]
fn a_node_first_fills_its_part_of_every_target() {
    let mut state = state(&["g1", "g2", "g3", "g4"]);
    set_node_count(&mut state, 4);
    for call in 0..8 {
        let chosen = choose_for(&state, call, &[]).expect("slots are free");
        begin(&mut state, CallId(call), &chosen);
    }
    for name in ["g1", "g2", "g3", "g4"] {
        assert_eq!(count_local(&state, &target(name)), 2);
    }
    assert!(
        choose_for(&state, 8, &[]).is_some(),
        "a node uses more than its part if all parts are full"
    );
}
