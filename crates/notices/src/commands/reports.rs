//! Announcements for messages to other nodes.

use std::cmp::Reverse;

use base::prelude::*;

use crate::{LeavingReport, LimitReport, NoticeReports, NoticeState, ReportScope, ServerRun};

/// Takes the announcements for the next message, at most as many of each kind: those told least
/// often, of these the ones heard last.
pub fn take_reports(state: &mut NoticeState, scope: ReportScope, limit: usize) -> NoticeReports {
    let limits = state.limits.iter();
    let limits = limits.filter(|(_, entry)| entry.is_own || scope == ReportScope::All);
    let limits = limits.map(|(server, entry)| (entry.told.of(scope), entry.heard_at, server));
    let limited = next_servers(limits, limit);
    let leaving = state.leaving.iter();
    let leaving = leaving.filter(|(_, entry)| entry.is_own || scope == ReportScope::All);
    let leaving = leaving.map(|(server, entry)| (entry.told.of(scope), entry.heard_at, server));
    let leaving = next_servers(leaving, limit);

    let limits = limited.into_iter().filter_map(|server| {
        let entry = state.limits.get_mut(&server)?;
        entry.told.increment(scope);
        Some(LimitReport {
            limit: entry.limit,
            heard_at: entry.heard_at,
            server,
        })
    });
    let limits = limits.collect();
    let leaving = leaving.into_iter().filter_map(|server| {
        let entry = state.leaving.get_mut(&server)?;
        entry.told.increment(scope);
        let incarnation = entry.incarnation;
        Some(LeavingReport {
            run: ServerRun {
                server,
                incarnation,
            },
            heard_at: entry.heard_at,
        })
    });
    NoticeReports {
        limits,
        leaving: leaving.collect(),
    }
}

/// Servers whose turn it is, of those given with how often they were told and when they were heard.
fn next_servers<'a>(
    candidates: impl Iterator<Item = (u32, ClockTime, &'a HostName)>,
    limit: usize,
) -> Vec<HostName> {
    let candidates = candidates.map(|(told, heard_at, server)| (told, Reverse(heard_at), server));
    let mut candidates: Vec<_> = candidates.collect();
    candidates.sort_unstable();
    let next = candidates.into_iter().take(limit);
    next.map(|(.., server)| server.clone()).collect()
}
