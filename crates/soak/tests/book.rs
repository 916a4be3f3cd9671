//! What counts as a broken promise, and that plans come from their seeds alone.

use std::time::{Duration, Instant};

use soak::{FaultPlan, PlanSize, RequestKind, RunBook};

const SPAN: Duration = Duration::from_secs(60);
const SIZE: PlanSize = PlanSize {
    nodes: 4,
    servers: 14,
};

fn book() -> RunBook {
    let mut book = RunBook::default();
    book.ask("once", RequestKind::OnceOnly, "depot", "/o/1");
    book.ask("stream", RequestKind::Stream, "depot", "/s/1");
    book
}

#[test]
fn a_request_that_may_run_once_breaks_a_promise_when_it_runs_twice() {
    let mut book = book();
    book.run("once", "depot", "/o/1", false);
    book.run("stream", "depot", "/s/1", false);
    book.run("stream", "depot", "/s/1", false);
    assert_eq!(book.breaches().len(), 0);
    book.run("once", "depot", "/o/1", false);
    assert_eq!(book.breaches().len(), 1);
}

#[test]
fn a_refusal_must_be_true_before_and_after() {
    let mut early = book();
    early.refuse("once", 503);
    assert_eq!(early.breaches().len(), 0);
    early.run("once", "depot", "/o/1", false);
    assert_eq!(early.breaches().len(), 1);
    let mut late = book();
    late.run("once", "depot", "/o/1", false);
    late.refuse("once", 503);
    assert_eq!(late.breaches().len(), 1);
}

#[test]
fn requests_reach_servers_unchanged_and_without_their_keys() {
    let mut book = book();
    book.run("nobody", "depot", "/o/1", false);
    book.run("stream", "forged", "/s/1", false);
    book.run("stream", "depot", "/s/1", true);
    book.run("stream", "depot", "/s/2", false);
    assert_eq!(book.breaches().len(), 4);
}

#[test]
fn a_group_must_be_whole_when_it_serves() {
    let members = ["a".to_owned(), "b".to_owned()];
    let mut book = book();
    book.join("g1", 7, &members, "a");
    book.join("g1", 6, &members, "b");
    book.check_group("g1", 7, &members, 2);
    assert_eq!(book.breaches().len(), 1, "b joined another epoch");
    book.join("g1", 7, &members, "b");
    book.check_group("g1", 7, &members, 2);
    book.check_group("g1", 7, &members, 3);
    assert_eq!(book.breaches().len(), 2, "the model needs three");
}

#[test]
fn a_key_is_dead_two_seconds_after_it_was_taken_away() {
    let mut book = book();
    let now = Instant::now();
    book.give_key("k", now);
    assert!(book.is_live_since("k", now) && !book.is_live_since("k", now - SPAN));
    assert!(book.is_live("k") && !book.is_dead("k", now));
    book.take_key("k", now);
    assert!(!book.is_live("k") && !book.is_dead("k", now + Duration::from_millis(1_900)));
    assert!(book.is_dead("k", now + Duration::from_millis(2_100)));
}

#[test]
fn the_same_seed_gives_the_same_faults() {
    let plan = FaultPlan::draw(5, SPAN, SIZE);
    assert_eq!(plan, FaultPlan::draw(5, SPAN, SIZE));
    assert_ne!(plan, FaultPlan::draw(6, SPAN, SIZE));
    assert!(plan.steps.len() > 40);
    assert!(plan.steps.is_sorted_by_key(|step| step.at));
}
