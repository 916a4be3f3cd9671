//! Queries that only read the announcements and the turns.

use base::prelude::*;

use crate::{ColdLimit, LeavingReport, LimitReport, NoticeState, RequestRate, ServerRun};

/// Whether no server has announced anything.
pub fn is_silent(state: &NoticeState) -> bool {
    state.limits.is_empty()
        && state.leaving.is_empty()
        && state.pauses.is_empty()
        && state.cold.is_empty()
}

/// Limit of a server; `None` if it has none.
pub fn limit_of(state: &NoticeState, server: &HostName) -> Option<RequestRate> {
    state.limits.get(server)?.limit
}

/// Whether anything is known of a server, so that a response without an announcement matters.
pub fn has_notice(state: &NoticeState, server: &HostName) -> bool {
    limit_of(state, server).is_some()
}

/// Whether this run of a server has announced that it leaves.
pub fn is_leaving(state: &NoticeState, server: &HostName, incarnation: HostIncarnation) -> bool {
    let entry = state.leaving.get(server);
    entry.is_some_and(|entry| entry.incarnation == incarnation)
}

/// Instant until which this run of a server wants nothing from this node, if it is yet to come.
pub fn paused_until(
    state: &NoticeState,
    server: &HostName,
    incarnation: HostIncarnation,
    now: ClockTime,
) -> Option<ClockTime> {
    let entry = state.pauses.get(server)?;
    (entry.incarnation == incarnation && entry.until > now).then_some(entry.until)
}

/// Whether this node may send a request to this run of a server now.
pub fn may_send(
    state: &NoticeState,
    server: &HostName,
    incarnation: HostIncarnation,
    now: ClockTime,
) -> bool {
    !is_leaving(state, server, incarnation)
        && paused_until(state, server, incarnation, now).is_none()
        && cold_until(state, server, incarnation, now).is_none()
        && has_turn(state, server, now)
}

/// Instant until which a cold start of a server takes nothing more from this node: its next turn
/// or the end of the cold time, whichever is sooner; `None` if it takes a request now.
pub fn cold_until(
    state: &NoticeState,
    server: &HostName,
    incarnation: HostIncarnation,
    now: ClockTime,
) -> Option<ClockTime> {
    let limit = state.cold.get(server)?;
    if limit.incarnation != incarnation || limit.until <= now {
        return None;
    }
    if limit.per_window == 0 {
        return Some(limit.until);
    }
    let log = state.sent.get(server);
    let open_at = log.map_or(ClockTime::default(), |log| log.open_at(limit.per_window));
    let open_at = open_at.max(state.cold_from).min(limit.until);
    (open_at > now).then_some(open_at)
}

/// Servers that are cold, with the end of that time.
pub fn cold_servers(
    state: &NoticeState,
    now: ClockTime,
) -> impl Iterator<Item = (&HostName, &ColdLimit)> {
    state
        .cold
        .iter()
        .filter(move |(_, limit)| limit.until > now)
}

/// Whether this node has a turn at a server, or the server has no limit.
pub fn has_turn(state: &NoticeState, server: &HostName, now: ClockTime) -> bool {
    let Some(entry) = state.limits.get(server) else {
        return true;
    };
    entry.limit.is_none_or(|limit| {
        let rate = state.turn_rate(limit);
        entry.allowance.has_turn(rate, now)
    })
}

/// Whether this node has a turn at a server that it has left unused for a while; none if the
/// server has no limit.
pub fn has_spare_turn(state: &NoticeState, server: &HostName, now: ClockTime) -> bool {
    state.limits.get(server).is_some_and(|entry| {
        let limit = entry.limit;
        limit.is_some_and(|limit| {
            let rate = state.turn_rate(limit);
            entry.allowance.has_spare_turn(rate, now)
        })
    })
}

/// Requests a second that this node may send to a server; `None` if it has no limit.
pub fn send_rate(state: &NoticeState, server: &HostName) -> Option<f64> {
    limit_of(state, server).map(|limit| state.turn_rate(limit))
}

/// What this node has heard from servers itself.
pub fn own_reports(state: &NoticeState) -> Vec<LimitReport> {
    reports(state, true)
}

/// What this node knows from servers and from other nodes.
pub fn all_reports(state: &NoticeState) -> Vec<LimitReport> {
    reports(state, false)
}

fn reports(state: &NoticeState, is_own_only: bool) -> Vec<LimitReport> {
    let entries = state.limits.iter();
    let reported = entries.filter(|(_, entry)| entry.is_own || !is_own_only);
    let reports = reported.map(|(server, entry)| LimitReport {
        server: server.clone(),
        limit: entry.limit,
        heard_at: entry.heard_at,
    });
    reports.collect()
}

/// Servers that leave, as this node has heard from themselves.
pub fn own_leaving(state: &NoticeState) -> Vec<LeavingReport> {
    leaving_reports(state, true)
}

/// Servers that leave, as this node knows from themselves and from other nodes.
pub fn all_leaving(state: &NoticeState) -> Vec<LeavingReport> {
    leaving_reports(state, false)
}

fn leaving_reports(state: &NoticeState, is_own_only: bool) -> Vec<LeavingReport> {
    let entries = state.leaving.iter();
    let reported = entries.filter(|(_, entry)| entry.is_own || !is_own_only);
    let reports = reported.map(|(server, entry)| LeavingReport {
        run: ServerRun {
            server: server.clone(),
            incarnation: entry.incarnation,
        },
        heard_at: entry.heard_at,
    });
    reports.collect()
}
