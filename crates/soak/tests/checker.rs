//! Tests of the invariants, and that a fault plan depends on its seed alone.

use std::time::{Duration, Instant};

use soak::{
    AnswerRule, CopyEvidence, Fault, FaultPlan, InvariantChecker, LinkMode, PlanKind, PlanSize,
    PromiseTally, RequestKind, SitePlanSize,
};

const DURATION: Duration = Duration::from_secs(60);
const SIZE: PlanSize = PlanSize {
    nodes: 4,
    servers: 14,
};

fn checker() -> InvariantChecker {
    let mut checker = InvariantChecker::default();
    checker.record_request("once", RequestKind::OnceOnly, "depot", "/o/1");
    checker.record_request("stream", RequestKind::Stream, "depot", "/s/1");
    checker
}

#[test]
fn running_a_once_only_request_twice_is_a_violation() {
    let mut checker = checker();
    checker.record_run("once", "depot", "/o/1", false);
    checker.record_run("stream", "depot", "/s/1", false);
    checker.record_run("stream", "depot", "/s/1", false);
    assert_eq!(checker.violations().len(), 0);
    checker.record_run("once", "depot", "/o/1", false);
    assert_eq!(checker.violations().len(), 1);
}

#[test]
fn a_request_reported_as_not_run_must_not_run_before_or_after() {
    let mut run_after_response = checker();
    run_after_response.record_not_run("once", 503);
    assert_eq!(run_after_response.violations().len(), 0);
    run_after_response.record_run("once", "depot", "/o/1", false);
    assert_eq!(run_after_response.violations().len(), 1);
    let mut run_before_response = checker();
    run_before_response.record_run("once", "depot", "/o/1", false);
    run_before_response.record_not_run("once", 503);
    assert_eq!(run_before_response.violations().len(), 1);
}

#[test]
fn a_repeated_id_counts_for_the_attempt_under_way() {
    let run = |checker: &mut InvariantChecker| checker.record_run("once", "depot", "/o/1", false);
    let mut served_at_last = checker();
    served_at_last.record_not_run("once", 503);
    served_at_last.record_repeat("once");
    run(&mut served_at_last);
    assert_eq!(served_at_last.violations().len(), 0);
    let mut run_between = checker();
    run_between.record_not_run("once", 503);
    run(&mut run_between);
    run_between.record_repeat("once");
    assert_eq!(run_between.violations().len(), 1);
    let mut refused_at_last = checker();
    refused_at_last.record_not_run("once", 503);
    refused_at_last.record_repeat("once");
    run(&mut refused_at_last);
    refused_at_last.record_not_run("once", 429);
    assert_eq!(refused_at_last.violations().len(), 1);
    let ids = refused_at_last.broken_requests();
    assert_eq!(ids, [("once", CopyEvidence::NoCopy)]);
    // The run is the second one of the id, whichever attempt it belongs to.
    refused_at_last.record_repeat("once");
    run(&mut refused_at_last);
    assert_eq!(refused_at_last.violations().len(), 2);
}

#[test]
fn requests_must_reach_servers_unchanged_and_without_their_keys() {
    let mut checker = checker();
    checker.record_run("nobody", "depot", "/o/1", false);
    checker.record_run("stream", "forged", "/s/1", false);
    checker.record_run("stream", "depot", "/s/1", true);
    checker.record_run("stream", "depot", "/s/2", false);
    assert_eq!(checker.violations().len(), 4);
}

#[test]
fn a_serving_group_must_be_complete() {
    let members = ["a".to_owned(), "b".to_owned()];
    let mut checker = checker();
    checker.record_ready_member("g1", 7, &members, "a");
    checker.record_ready_member("g1", 6, &members, "b");
    checker.check_group("g1", 7, &members, 2);
    assert_eq!(
        checker.violations().len(),
        1,
        "b became ready in another epoch"
    );
    checker.record_ready_member("g1", 7, &members, "b");
    checker.check_group("g1", 7, &members, 2);
    checker.check_group("g1", 7, &members, 3);
    assert_eq!(
        checker.violations().len(),
        2,
        "the model needs three members"
    );
}

#[test]
fn a_key_must_be_rejected_two_seconds_after_its_revocation() {
    let mut checker = checker();
    let now = Instant::now();
    checker.issue_key("k", now);
    assert!(checker.is_valid_since("k", now) && !checker.is_valid_since("k", now - DURATION));
    assert!(checker.is_valid("k") && !checker.is_revocation_due("k", now));
    checker.revoke_key("k", now);
    assert!(
        !checker.is_valid("k")
            && !checker.is_revocation_due("k", now + Duration::from_millis(1_900))
    );
    assert!(checker.is_revocation_due("k", now + Duration::from_millis(2_100)));
}

#[test]
fn the_same_seed_gives_the_same_faults() {
    let plan = FaultPlan::generate(5, DURATION, SIZE);
    assert_eq!(plan, FaultPlan::generate(5, DURATION, SIZE));
    assert_ne!(plan, FaultPlan::generate(6, DURATION, SIZE));
    assert!(plan.steps.len() > 40);
    assert!(plan.steps.is_sorted_by_key(|step| step.at));
}

#[test]
fn runs_of_a_request_that_crashes_servers_are_excused_only_while_daemons_are_disturbed() {
    let start = Instant::now();
    // Seconds at which the request runs: three crashes, and more than two seconds later four.
    let runs = [0, 1, 2, 5, 6, 7, 8];
    for (disturbed_until, violations) in [(None, 1), (Some(4), 1), (Some(5), 0)] {
        let mut checker = InvariantChecker::default();
        let at = |second| start + Duration::from_secs(second);
        if let Some(until) = disturbed_until {
            checker.pause_deadly_checks(at(until));
        }
        runs.iter()
            .for_each(|&second| checker.record_deadly_run(at(second)));
        assert_eq!(
            checker.violations().len(),
            violations,
            "{disturbed_until:?}"
        );
    }
}

#[test]
fn a_server_that_announced_its_leaving_in_calm_times_gets_no_request_after_two_seconds() {
    let mut checker = checker();
    let now = Instant::now();
    checker.record_drain("left", now);
    checker.record_drained_arrival("left", now + Duration::from_millis(1_900));
    checker.record_drained_arrival("other", now + Duration::from_millis(2_100));
    assert_eq!(checker.violations().len(), 0);
    checker.record_drained_arrival("left", now + Duration::from_millis(2_100));
    assert_eq!(checker.violations().len(), 1);
    checker.pause_drain_checks(now + Duration::from_millis(10));
    checker.record_drained_arrival("left", now + Duration::from_millis(2_200));
    assert_eq!(checker.violations().len(), 1);
}

#[test]
fn requests_whose_route_changes_its_kind_are_not_judged() {
    let mut checker = checker();
    checker.excuse_under_way("/o/");
    checker.record_run("once", "depot", "/o/1", false);
    checker.record_run("once", "depot", "/o/1", false);
    checker.record_not_run("once", 503);
    assert!(checker.violations().is_empty() && checker.broken_rules().is_empty());
    let judged = checker.judged();
    assert_eq!((judged.once_only, judged.changing, judged.runs), (1, 1, 0));
}

#[test]
fn broken_rules_name_the_request() {
    let mut checker = checker();
    checker.record_run("once", "depot", "/o/1", false);
    checker.record_not_run("once", 421);
    checker.record_run("once", "depot", "/o/1", false);
    let broken: Vec<_> = checker.broken_rules().iter().cloned().collect();
    let once = "once".to_owned();
    assert_eq!(
        broken,
        [
            (AnswerRule::Refused, once.clone()),
            (AnswerRule::Twice, once)
        ]
    );
    let judged = checker.judged();
    assert_eq!((judged.runs, judged.refusals), (2, 1));
}

#[test]
fn the_same_seed_gives_the_same_faults_of_a_site() {
    let size = SitePlanSize {
        nodes: 7,
        plain: 3,
        servers: 63,
        idempotent: vec![4],
        once_only: vec![3],
    };
    let plan = FaultPlan::for_site(5, DURATION, &size);
    assert_eq!(plan, FaultPlan::for_site(5, DURATION, &size));
    assert_ne!(plan, FaultPlan::for_site(6, DURATION, &size));
    assert!(plan.steps.is_sorted_by_key(|step| step.at));
    let changes = |fault: &Fault| matches!(fault, Fault::ChangeKind(_));
    assert!(plan.steps.iter().any(|step| changes(&step.fault)));
}

#[test]
fn only_requests_that_may_run_once_are_counted_as_promises() {
    let mut checker = checker();
    checker.record_run("once", "depot", "/o/1", false);
    checker.record_not_run("once", 503);
    checker.record_run("once", "depot", "/o/1", false);
    checker.record_run("stream", "depot", "/s/1", false);
    checker.record_not_run("stream", 503);
    let counted = PromiseTally {
        requests: 1,
        refusals: 1,
        runs: 2,
        refused_after_run: 1,
        run_after_refusal: 1,
        repeated_runs: 1,
    };
    assert_eq!(checker.promises(), counted);
}

#[test]
fn plans_of_restarts_rename_both_plain_servers_and_cut_daemons_off_only_where_they_pass_on() {
    let plan = |kind, seed| FaultPlan::of_kind(kind, seed, DURATION, SIZE);
    let restarts = plan(PlanKind::Restarts, 5);
    assert_eq!(restarts, plan(PlanKind::Restarts, 5));
    assert_ne!(restarts, plan(PlanKind::Restarts, 6));
    assert!(restarts.steps.is_sorted_by_key(|step| step.at));
    let faults: Vec<_> = restarts.steps.iter().map(|step| step.fault).collect();
    assert!(faults.contains(&Fault::Rename(0)) && faults.contains(&Fault::Rename(1)));
    let mut passed_on = plan(PlanKind::PassedOn, 5);
    let cut = passed_on.steps.remove(0).fault;
    assert_eq!(cut, Fault::CutFromServers(2, LinkMode::Reset, DURATION));
    assert_eq!(passed_on, restarts);
}
