//! Groups with a member missing get no calls and lose those they have.

use base::prelude::*;
use gateway::{CallStep, RefusalCause, RunState};
use groups::{GroupPhase, MemberPhase};

use crate::fleet::{Fleet, report_of};
use crate::harness::{Harness, VALIDITY, model_call};

const MOMENT: Duration = Duration::from_millis(500);

/// What a second member says of itself instead of its place.
type Change = fn(&mut Fleet);

#[test]
fn a_group_without_all_its_members_gets_no_calls_and_loses_those_it_has() {
    let cases: [(&str, Change); 7] = [
        ("restarted", |fleet| {
            fleet.reports[1].incarnation = HostIncarnation(2)
        }),
        ("in no group", |fleet| fleet.reports[1].assignment = None),
        ("in another group", |fleet| {
            let assignment = fleet.reports[1].assignment.as_mut().unwrap();
            assignment.group = GroupName::new("quotes-2").unwrap();
        }),
        ("of an older generation", |fleet| {
            let assignment = fleet.reports[1].assignment.as_mut().unwrap();
            assignment.epoch = GroupEpoch(0);
        }),
        ("in another rank", |fleet| {
            let assignment = fleet.reports[1].assignment.as_mut().unwrap();
            assignment.rank = 0;
        }),
        ("loading", |fleet| {
            fleet.reports[1].phase = MemberPhase::Loading
        }),
        ("idle", |fleet| fleet.reports[1].phase = MemberPhase::Idle),
    ];
    for (case, change) in cases {
        let mut fleet = Fleet::healthy();
        let mut harness = Harness::serving(&fleet);
        let call = harness.call(model_call());
        assert_eq!(harness.sends(call), 1, "{case}");
        change(&mut fleet);
        harness.pass(MOMENT);
        harness.hear_reports(&fleet);
        assert_eq!(harness.last_step(call), Some(&CallStep::Stop), "{case}");
        let late = harness.call(model_call());
        let refused = harness.refused(late);
        let expected = Some((RefusalCause::NoEndpoint, RunState::NotRun));
        assert_eq!(refused, expected, "{case}");
    }
}

#[test]
fn a_silent_member_is_missing_once_its_answer_is_too_old() {
    let fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    let call = harness.call(model_call());
    harness.pass(VALIDITY - Duration::from_millis(1));
    harness.hear_report(&fleet, 0, harness.now);
    assert_eq!(harness.sends(call), 1);
    assert_ne!(harness.last_step(call), Some(&CallStep::Stop));
    harness.pass(Duration::from_millis(1));
    assert_eq!(harness.last_step(call), Some(&CallStep::Stop));
    let late = harness.call(model_call());
    assert!(harness.refused(late).is_some());
}

#[test]
fn an_answer_lives_from_when_it_was_asked_for() {
    let fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    let polled_at = harness.now;
    harness.pass(VALIDITY);
    harness.hear_report(&fleet, 0, harness.now);
    harness.hear_report(&fleet, 1, polled_at);
    let call = harness.call(model_call());
    assert!(
        harness.refused(call).is_some(),
        "a late answer proves nothing"
    );
}

#[test]
fn an_answer_to_an_earlier_question_is_passed_over() {
    let mut fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    let polled_at = harness.now;
    harness.pass(MOMENT);
    fleet.reports[1].incarnation = HostIncarnation(2);
    harness.hear_reports(&fleet);
    fleet.reports[1] = report_of(1);
    harness.hear_report(&fleet, 1, polled_at);
    let call = harness.call(model_call());
    assert!(harness.refused(call).is_some());
}

#[test]
fn a_woken_gateway_trusts_no_answer_from_before_its_pause() {
    let fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    harness.now = harness.now + Duration::from_secs(3_600);
    let call = harness.call(model_call());
    assert!(
        harness.refused(call).is_some(),
        "it sent a call on answers that are an hour old"
    );
}

#[test]
fn a_new_generation_ends_the_calls_of_the_old_one() {
    let mut fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    let call = harness.call(model_call());
    fleet.edit_group().epoch = GroupEpoch(2);
    harness.read_record(&fleet);
    assert_eq!(harness.last_step(call), Some(&CallStep::Stop));
    let late = harness.call(model_call());
    assert!(harness.refused(late).is_some());
    for report in &mut fleet.reports {
        report.assignment.as_mut().unwrap().epoch = GroupEpoch(2);
    }
    harness.pass(MOMENT);
    harness.hear_reports(&fleet);
    let call = harness.call(model_call());
    let place = harness.sent(call).place.clone().unwrap();
    assert_eq!(place.epoch, GroupEpoch(2));
}

#[test]
fn an_older_record_that_comes_late_changes_nothing() {
    let mut fleet = Fleet::healthy();
    let old = fleet.clone();
    let mut harness = Harness::serving(&fleet);
    fleet.edit_group().epoch = GroupEpoch(2);
    harness.read_record(&fleet);
    harness.read_record(&old);
    harness.hear_reports(&old);
    let call = harness.call(model_call());
    assert!(harness.refused(call).is_some());
}

#[test]
fn a_draining_group_keeps_its_calls_and_gets_no_more() {
    let mut fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    let call = harness.call(model_call());
    fleet.edit_group().phase = GroupPhase::Draining;
    harness.read_record(&fleet);
    assert!(matches!(harness.last_step(call), Some(CallStep::Send(_))));
    let late = harness.call(model_call());
    assert!(harness.refused(late).is_some());
    fleet.reports[1].incarnation = HostIncarnation(2);
    harness.hear_reports(&fleet);
    assert_eq!(harness.last_step(call), Some(&CallStep::Stop));
}
