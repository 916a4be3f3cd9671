//! Readiness of groups and their faults.

mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;
use groups::{
    FabricEffect, FabricState, GroupFault, GroupPhase, GroupReadiness, GroupRecord, GroupSettings,
    HostAssignment, HostReport, LoadReport, MemberFault, MemberPhase, MemberRecord, ReportTable,
    TimedReport, check_group,
};
use world::{desired, entry, fabric, host};

type ReportChange = Box<dyn Fn(&mut TimedReport)>;

const NOW: ClockTime = ClockTime::from_millis(10_000);

fn group() -> GroupRecord {
    let member = |index| MemberRecord {
        host: host(index),
        address: entry(index).address,
        incarnation: HostIncarnation(3),
    };
    GroupRecord {
        group: GroupName::new("f1.1").unwrap(),
        deployment: DeploymentName::new("llm").unwrap(),
        model: ModelName::new("m1").unwrap(),
        epoch: GroupEpoch(2),
        phase: GroupPhase::Active,
        members: vec![member(0), member(1)],
    }
}

fn report(rank: usize) -> TimedReport {
    TimedReport {
        polled_at: ClockTime::from_millis(9_000),
        valid_until: ClockTime::from_millis(12_000 + rank as u64),
        report: HostReport {
            host: host(rank),
            incarnation: HostIncarnation(3),
            assignment: Some(HostAssignment {
                group: group().group,
                epoch: GroupEpoch(2),
                rank,
            }),
            phase: MemberPhase::Ready,
            model: Some(group().model),
            load: LoadReport::default(),
        },
    }
}

fn reports(change: impl Fn(&mut TimedReport)) -> ReportTable {
    let mut second = report(1);
    change(&mut second);
    BTreeMap::from([(host(0), report(0)), (host(1), second)])
}

#[test]
fn a_group_serves_until_its_first_report_expires() {
    let readiness = check_group(&group(), &reports(|_| {}), NOW);
    let valid_until = ClockTime::from_millis(12_000);
    assert_eq!(readiness, GroupReadiness::Serving { valid_until });
}

#[test]
fn every_fault_of_a_member_is_reported() {
    let elsewhere = |epoch, rank| HostAssignment {
        group: group().group,
        epoch: GroupEpoch(epoch),
        rank,
    };
    let cases: Vec<(ReportChange, MemberFault)> = vec![
        (
            Box::new(|timed| timed.valid_until = NOW),
            MemberFault::Silent,
        ),
        (
            Box::new(|timed| timed.report.incarnation = HostIncarnation(4)),
            MemberFault::Restarted {
                found: HostIncarnation(4),
            },
        ),
        (
            Box::new(|timed| timed.report.assignment = None),
            MemberFault::Misassigned { found: None },
        ),
        (
            Box::new(move |timed| timed.report.assignment = Some(elsewhere(1, 1))),
            MemberFault::Misassigned {
                found: Some(elsewhere(1, 1)),
            },
        ),
        (
            Box::new(move |timed| timed.report.assignment = Some(elsewhere(2, 0))),
            MemberFault::Misassigned {
                found: Some(elsewhere(2, 0)),
            },
        ),
        (
            Box::new(|timed| timed.report.phase = MemberPhase::Loading),
            MemberFault::NotReady,
        ),
        (
            Box::new(|timed| timed.report.phase = MemberPhase::Leaving),
            MemberFault::Leaving,
        ),
    ];
    for (change, fault) in cases {
        let readiness = check_group(&group(), &reports(change), NOW);
        let host = host(1);
        let expected = GroupReadiness::NotServing(vec![GroupFault::Member { host, fault }]);
        assert_eq!(readiness, expected);
    }
}

#[test]
fn a_member_without_any_report_is_silent() {
    let mut reports = reports(|_| {});
    reports.remove(&host(0));
    let host = host(0);
    let fault = MemberFault::Silent;
    let expected = GroupReadiness::NotServing(vec![GroupFault::Member { host, fault }]);
    assert_eq!(check_group(&group(), &reports, NOW), expected);
}

#[test]
fn an_idle_host_joins_a_group_only_after_earlier_reports_and_orders_have_expired() {
    let settings = GroupSettings::default();
    let wait = settings.report_validity.max(settings.order_limit);
    let node = NodeName::new("n1").unwrap();
    let mut state = FabricState::new(fabric(), node, 1, settings, 1);
    let start = ClockTime::from_millis(1_000);
    state.observe_record(None, start);
    state.observe_hosts((0..2).map(entry));
    state.set_desired_groups([desired(2, 1, true)]);
    let mut version = ObjectVersion(0);
    for step in 0..40 {
        let now = start + Duration::from_millis(250) * step;
        for index in 0..2 {
            let mut idle = report(index).report;
            idle.assignment = None;
            state.observe_report(idle, now, now);
        }
        let mut effects = state.tick(now);
        while let Some(effect) = effects.pop() {
            let FabricEffect::Write { record, .. } = effect else {
                continue;
            };
            if !record.groups.is_empty() {
                assert_eq!(now, start + wait);
                return;
            }
            version = version.next();
            let applied = store::UpdateOutcome::Applied(version);
            effects.extend(state.complete_write(record.nonce, applied, now));
        }
    }
    panic!("no group was formed");
}
