//! Announcements that go into messages to other nodes.

use std::collections::BTreeSet;

use base::prelude::*;
use notices::commands::{merge_leaving, merge_report, record_limit, record_notice, take_reports};
use notices::{
    LeavingReport, LimitReport, NoticeState, ReportScope, RequestRate, ServerNotice, ServerRun,
};

const SERVERS: usize = 100;
const LIMIT: usize = 8;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn run(index: usize) -> ServerRun {
    ServerRun {
        server: HostName::new(&format!("i-{index:03}")).unwrap(),
        incarnation: HostIncarnation(1),
    }
}

fn leaving() -> ServerNotice {
    ServerNotice {
        is_leaving: true,
        ..ServerNotice::default()
    }
}

/// Half of the servers are heard by this node, the others reported to it.
fn many_announcements() -> NoticeState {
    let mut state = NoticeState::new();
    for index in 0..SERVERS {
        let run = run(index);
        let limit = RequestRate::new(2.0);
        if index < SERVERS / 2 {
            record_limit(&mut state, &run.server, limit, at(0));
            let notice = ServerNotice { limit, ..leaving() };
            record_notice(&mut state, &run, notice, at(0));
        } else {
            let heard_at = at(0);
            let report = LimitReport {
                server: run.server.clone(),
                limit,
                heard_at,
            };
            merge_report(&mut state, &report, at(0));
            merge_leaving(&mut state, &LeavingReport { run, heard_at });
        }
    }
    state
}

#[test]
fn each_announcement_is_in_one_of_few_messages_however_many_there_are() {
    for (scope, count) in [(ReportScope::Own, SERVERS / 2), (ReportScope::All, SERVERS)] {
        let mut state = many_announcements();
        let (mut limited, mut left) = (BTreeSet::new(), BTreeSet::new());
        for _ in 0..count.div_ceil(LIMIT) {
            let reports = take_reports(&mut state, scope, LIMIT);
            assert!(reports.limits.len() <= LIMIT && reports.leaving.len() <= LIMIT);
            limited.extend(reports.limits.into_iter().map(|report| report.server));
            left.extend(reports.leaving.into_iter().map(|report| report.run.server));
        }
        assert_eq!((limited.len(), left.len()), (count, count), "{scope:?}");
    }
}

#[test]
fn a_hub_passes_on_what_it_hears_beside_own_announcements_in_every_message() {
    let mut state = many_announcements();
    let mut left = BTreeSet::new();
    for _ in 0..SERVERS.div_ceil(LIMIT) {
        take_reports(&mut state, ReportScope::Own, LIMIT);
        let reports = take_reports(&mut state, ReportScope::All, LIMIT);
        left.extend(reports.leaving.into_iter().map(|report| report.run.server));
    }
    assert_eq!(left.len(), SERVERS);
}

#[test]
fn a_limit_that_has_changed_is_in_the_next_message() {
    let mut state = many_announcements();
    for _ in 0..SERVERS {
        take_reports(&mut state, ReportScope::All, LIMIT);
    }
    for limit in [RequestRate::new(5.0), None] {
        record_limit(&mut state, &run(3).server, limit, at(100));
        let reports = take_reports(&mut state, ReportScope::All, LIMIT);
        let first = reports.limits.first().unwrap();
        assert_eq!((&first.server, first.limit), (&run(3).server, limit));
    }
}
