//! Incomplete groups get no new calls, and their calls in flight are suspended or aborted.

use base::prelude::*;
use gateway::{AttemptNumber, CallStep, RefusalCause, RunState};
use groups::{GroupPhase, MemberPhase};

use crate::fleet::{Fleet, report_of};
use crate::harness::{Harness, REPORT_VALIDITY, model_call, not_run};

const MOMENT: Duration = Duration::from_millis(500);
const FIRST: AttemptNumber = AttemptNumber(1);

/// Change of the second member's report.
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
        assert_eq!(harness.send_count(call), 1, "{case}");
        change(&mut fleet);
        harness.advance(MOMENT);
        harness.receive_reports(&fleet);
        assert_eq!(
            harness.last_step(call),
            Some(&CallStep::Abort(FIRST)),
            "{case}"
        );
        let late = harness.call(model_call());
        let refused = harness.refused(late);
        let expected = Some((RefusalCause::NoEndpoint, RunState::NotRun(not_run())));
        assert_eq!(refused, expected, "{case}");
    }
}

#[test]
fn a_silent_member_is_missing_once_its_report_expires() {
    let fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    let call = harness.call(model_call());
    harness.advance(REPORT_VALIDITY - Duration::from_millis(1));
    harness.receive_report(&fleet, 0, harness.now);
    assert_eq!(harness.send_count(call), 1);
    assert!(matches!(harness.last_step(call), Some(CallStep::Send(_))));
    harness.advance(Duration::from_millis(1));
    assert_eq!(harness.last_step(call), Some(&CallStep::Suspend(FIRST)));
    let late = harness.call(model_call());
    assert!(harness.refused(late).is_some());
}

#[test]
fn a_suspended_call_goes_on_once_its_group_is_complete_at_the_same_generation() {
    let fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    let call = harness.call(model_call());
    harness.advance(REPORT_VALIDITY);
    assert_eq!(harness.last_step(call), Some(&CallStep::Suspend(FIRST)));
    harness.receive_report(&fleet, 0, harness.now);
    assert_eq!(harness.last_step(call), Some(&CallStep::Suspend(FIRST)));
    harness.receive_report(&fleet, 1, harness.now);
    assert_eq!(harness.last_step(call), Some(&CallStep::Resume(FIRST)));
}

#[test]
fn a_suspended_call_is_aborted_once_its_group_is_known_to_be_broken() {
    let cases: [(&str, Change); 3] = [
        ("restarted", |fleet| {
            fleet.reports[1].incarnation = HostIncarnation(2)
        }),
        ("in no group", |fleet| fleet.reports[1].assignment = None),
        ("of a new generation", |fleet| {
            fleet.edit_group().epoch = GroupEpoch(2);
        }),
    ];
    for (case, change) in cases {
        let mut fleet = Fleet::healthy();
        let mut harness = Harness::serving(&fleet);
        let call = harness.call(model_call());
        harness.advance(REPORT_VALIDITY);
        change(&mut fleet);
        harness.read_record(&fleet);
        harness.receive_reports(&fleet);
        let step = Some(&CallStep::Abort(FIRST));
        assert_eq!(harness.last_step(call), step, "{case}");
    }
}

#[test]
fn a_report_is_valid_from_the_start_of_its_poll() {
    let fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    let polled_at = harness.now;
    harness.advance(REPORT_VALIDITY);
    harness.receive_report(&fleet, 0, harness.now);
    harness.receive_report(&fleet, 1, polled_at);
    let call = harness.call(model_call());
    assert!(
        harness.refused(call).is_some(),
        "the delayed report has expired"
    );
}

#[test]
fn a_report_of_an_earlier_poll_is_ignored() {
    let mut fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    let polled_at = harness.now;
    harness.advance(MOMENT);
    fleet.reports[1].incarnation = HostIncarnation(2);
    harness.receive_reports(&fleet);
    fleet.reports[1] = report_of(1);
    harness.receive_report(&fleet, 1, polled_at);
    let call = harness.call(model_call());
    assert!(harness.refused(call).is_some());
}

#[test]
fn a_resumed_gateway_ignores_reports_from_before_its_pause() {
    let fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    harness.now = harness.now + Duration::from_secs(3_600);
    let call = harness.call(model_call());
    assert!(
        harness.refused(call).is_some(),
        "a call was sent on the basis of reports an hour old"
    );
}

#[test]
fn a_new_generation_ends_the_calls_of_the_old_one() {
    let mut fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    let call = harness.call(model_call());
    fleet.edit_group().epoch = GroupEpoch(2);
    harness.read_record(&fleet);
    assert_eq!(harness.last_step(call), Some(&CallStep::Abort(FIRST)));
    let late = harness.call(model_call());
    assert!(harness.refused(late).is_some());
    for report in &mut fleet.reports {
        report.assignment.as_mut().unwrap().epoch = GroupEpoch(2);
    }
    harness.advance(MOMENT);
    harness.receive_reports(&fleet);
    let call = harness.call(model_call());
    let generation = harness.last_order(call).generation.clone().unwrap();
    assert_eq!(generation.epoch, GroupEpoch(2));
}

#[test]
fn a_delayed_older_record_changes_nothing() {
    let mut fleet = Fleet::healthy();
    let old = fleet.clone();
    let mut harness = Harness::serving(&fleet);
    fleet.edit_group().epoch = GroupEpoch(2);
    harness.read_record(&fleet);
    harness.read_record(&old);
    harness.receive_reports(&old);
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
    harness.receive_reports(&fleet);
    assert_eq!(harness.last_step(call), Some(&CallStep::Abort(FIRST)));
}
