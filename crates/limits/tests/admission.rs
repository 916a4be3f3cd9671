//! Admission of calls: single cases.

mod support;

use std::collections::BTreeMap;

use base::prelude::*;
use limits::commands::{cancel, expire, offer, release, set_capacity, set_workspaces};
use limits::queries::{next_deadline, queue_depths, split_slots};
use limits::{
    AdmissionOutcome, AdmissionRefusalReason, AdmissionRequest, CallPriority, LimitSettings,
    SlotUsage,
};
use support::{at, limits_of, request, service, state, workspace};

fn reason(outcome: &AdmissionOutcome) -> Option<AdmissionRefusalReason> {
    match outcome {
        AdmissionOutcome::Refused(refusal) => Some(refusal.reason),
        _ => None,
    }
}

fn small_queue(queue_limit: usize) -> LimitSettings {
    LimitSettings {
        queue_limit,
        initial_call_duration: Duration::from_millis(100),
        ..LimitSettings::default()
    }
}

#[test]
fn calls_that_cannot_run_are_refused_at_once() {
    let cases = [
        (
            "unknown workspace",
            1,
            request(1, "nobody", 1_000),
            AdmissionRefusalReason::UnknownWorkspace,
        ),
        (
            "no slots",
            0,
            request(1, "a", 1_000),
            AdmissionRefusalReason::NoCapacity,
        ),
        (
            "past its deadline on arrival",
            1,
            request(1, "a", 9),
            AdmissionRefusalReason::Deadline,
        ),
    ];
    for (name, slots, request, expected) in cases {
        let mut state = state(slots, &[("a", 1)], LimitSettings::default());
        let outcome = offer(&mut state, request, at(10));
        assert_eq!(reason(&outcome), Some(expected), "{name}");
    }
}

#[test]
fn a_call_is_refused_at_once_if_its_wait_exceeds_the_deadline() {
    let mut state = state(1, &[("a", 1)], small_queue(100));
    offer(&mut state, request(1, "a", 1_000), at(0));
    let outcome = offer(&mut state, request(2, "a", 50), at(0));
    assert_eq!(reason(&outcome), Some(AdmissionRefusalReason::Deadline));
    let AdmissionOutcome::Refused(refusal) = outcome else {
        panic!("the call was not refused");
    };
    assert!(refusal.retry_at >= at(1_000));
}

#[test]
fn a_full_queue_admits_only_a_call_of_higher_priority() {
    let mut state = state(1, &[("a", 1)], small_queue(2));
    for call in 1..=3 {
        offer(&mut state, request(call, "a", 10_000), at(0));
    }
    let same = offer(&mut state, request(4, "a", 10_000), at(0));
    assert_eq!(reason(&same), Some(AdmissionRefusalReason::QueueFull));
    let high = AdmissionRequest {
        priority: CallPriority::High,
        ..request(5, "a", 10_000)
    };
    let AdmissionOutcome::Queued { displaced } = offer(&mut state, high, at(0)) else {
        panic!("the call of higher priority was not queued");
    };
    assert_eq!(displaced.map(|refusal| refusal.call), Some(CallId(3)));
    assert_eq!(release(&mut state, CallId(1), at(1)).admitted, [CallId(5)]);
}

#[test]
fn a_waiting_call_expires_after_its_deadline() {
    let mut state = state(1, &[("a", 1)], small_queue(10));
    offer(&mut state, request(1, "a", 10_000), at(0));
    offer(&mut state, request(2, "a", 200), at(0));
    let due = next_deadline(&state).expect("a call is waiting");
    assert!(due > at(200));
    assert!(expire(&mut state, at(200)).refused.is_empty());
    let change = expire(&mut state, due);
    assert_eq!(change.refused[0].call, CallId(2));
    assert!(release(&mut state, CallId(1), due).admitted.is_empty());
}

#[test]
fn a_cancelled_call_releases_its_slot_or_queue_position() {
    let mut state = state(1, &[("a", 1)], small_queue(10));
    for call in 1..=3 {
        offer(&mut state, request(call, "a", 10_000), at(0));
    }
    assert!(cancel(&mut state, CallId(2), at(1)).admitted.is_empty());
    assert_eq!(cancel(&mut state, CallId(1), at(2)).admitted, [CallId(3)]);
}

#[test]
fn waiting_calls_of_a_removed_workspace_are_refused() {
    let mut state = state(1, &[("a", 1), ("b", 1)], small_queue(10));
    offer(&mut state, request(1, "a", 10_000), at(0));
    offer(&mut state, request(2, "b", 10_000), at(0));
    let workspaces = BTreeMap::from([(workspace("a"), limits_of(1, 10))]);
    let change = set_workspaces(&mut state, workspaces, at(1));
    assert_eq!(
        change.refused[0].reason,
        AdmissionRefusalReason::UnknownWorkspace
    );
}

#[test]
fn additional_capacity_starts_waiting_calls() {
    let mut state = state(1, &[("a", 1)], small_queue(10));
    for call in 1..=3 {
        offer(&mut state, request(call, "a", 10_000), at(0));
    }
    let change = set_capacity(&mut state, &service(), 3, at(1));
    assert_eq!(change.admitted, [CallId(2), CallId(3)]);
}

#[test]
fn a_workspace_stays_within_its_call_limit() {
    let mut state = state(10, &[], small_queue(10));
    let workspaces = BTreeMap::from([(workspace("a"), limits_of(1, 2))]);
    set_workspaces(&mut state, workspaces, at(0));
    for call in 1..=3 {
        offer(&mut state, request(call, "a", 10_000), at(0));
    }
    let depths = queue_depths(&state);
    assert_eq!((depths[0].running, depths[0].waiting), (2, 1));
    assert_eq!(release(&mut state, CallId(1), at(1)).admitted, [CallId(3)]);
}

#[test]
fn slots_are_reserved_from_a_flooding_workspace() {
    let mut state = state(16, &[("flood", 1), ("b", 1)], small_queue(100));
    for call in 1..=4 {
        offer(&mut state, request(call, "b", 10_000), at(0));
    }
    for call in 5..=40 {
        offer(&mut state, request(call, "flood", 10_000), at(0));
    }
    for call in [5, 6, 7] {
        let change = release(&mut state, CallId(call), at(1));
        assert!(
            change.admitted.is_empty(),
            "the slot of call {call} is reserved for other workspaces"
        );
    }
    let change = release(&mut state, CallId(8), at(1));
    assert_eq!(
        change.admitted.len(),
        1,
        "more than three slots are reserved"
    );
    let burst = offer(&mut state, request(50, "b", 10_000), at(1));
    assert_eq!(burst, AdmissionOutcome::Admitted);
}

#[test]
fn a_workspace_without_competition_uses_every_slot() {
    let mut state = state(16, &[("a", 1), ("b", 1)], small_queue(100));
    for call in 1..=20 {
        offer(&mut state, request(call, "a", 10_000), at(0));
    }
    assert_eq!(queue_depths(&state)[0].running, 16);
}

#[test]
fn nodes_split_all_slots_between_them() {
    let settings = LimitSettings::default();
    let usage = |reported_calls, local_calls| SlotUsage {
        slots: 120,
        reported_slots: 120,
        reported_calls,
        local_calls,
        nodes: 6,
    };
    let silent = SlotUsage {
        reported_slots: 0,
        ..usage(0, 0)
    };
    assert!((split_slots(&settings, silent) - 20.0).abs() < 1e-9);
    let cases = [
        [0; 6],
        [20; 6],
        [0, 0, 0, 0, 0, 60],
        [40, 16, 16, 16, 16, 16],
        [30; 6],
    ];
    for local_calls in cases {
        let used = local_calls.iter().sum();
        let parts = local_calls
            .iter()
            .map(|&local_calls| split_slots(&settings, usage(used, local_calls)));
        let sum: f64 = parts.sum();
        assert!(
            (sum - 120.0).abs() < 1e-9,
            "{local_calls:?} split {sum} slots"
        );
    }
}
