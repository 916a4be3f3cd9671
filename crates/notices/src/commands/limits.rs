//! Announcements of limits, heard by this node or reported by others.

use base::prelude::*;

use crate::allowance::SendAllowance;
use crate::state::{LimitEntry, ToldCount};
use crate::{LimitChange, LimitReport, NoticeState, RequestRate};

/// Time after which an announcement that no node has heard again is dropped. Even the lowest
/// limit lets several requests through in it.
const LIMIT_VALIDITY: Duration = Duration::from_secs(60);
/// Time for which the end of a limit is remembered, so that older reports don't bring it back.
const END_VALIDITY: Duration = Duration::from_secs(30);
/// Largest number of servers whose announcements are kept.
pub(super) const MAX_ENTRIES: usize = 5_000;

/// Records the limit that a response of a server named, or that it named none.
pub fn record_limit(
    state: &mut NoticeState,
    server: &HostName,
    limit: Option<RequestRate>,
    now: ClockTime,
) -> Option<LimitChange> {
    apply(state, server, limit, now, true, now)
}

/// Adds what another node has heard, unless this node knows of a later announcement.
pub fn merge_report(
    state: &mut NoticeState,
    report: &LimitReport,
    now: ClockTime,
) -> Option<LimitChange> {
    let known = state.limits.get(&report.server);
    if known.is_some_and(|entry| entry.heard_at >= report.heard_at) {
        return None;
    }
    apply(
        state,
        &report.server,
        report.limit,
        report.heard_at,
        false,
        now,
    )
}

fn apply(
    state: &mut NoticeState,
    server: &HostName,
    limit: Option<RequestRate>,
    heard_at: ClockTime,
    is_own: bool,
    now: ClockTime,
) -> Option<LimitChange> {
    let progress = state.first_progress(server);
    let fraction = state.share.fraction;
    if let Some(entry) = state.limits.get_mut(server) {
        let before = entry.limit;
        match before {
            Some(before) => entry.allowance.advance(before.per_second() * fraction, now),
            None => entry.allowance = SendAllowance::new(progress, now),
        }
        if before != limit {
            entry.told = ToldCount::default();
        }
        entry.limit = limit;
        entry.heard_at = heard_at;
        entry.is_own = is_own;
        return match limit {
            Some(limit) if before != Some(limit) => Some(LimitChange::Named(limit)),
            None if before.is_some() => Some(LimitChange::Ended),
            _ => None,
        };
    }
    if state.limits.len() >= MAX_ENTRIES {
        return None;
    }
    let limit = limit?;
    let entry = LimitEntry {
        limit: Some(limit),
        heard_at,
        is_own,
        told: ToldCount::default(),
        allowance: SendAllowance::new(progress, now),
    };
    state.limits.insert(server.clone(), entry);
    Some(LimitChange::Named(limit))
}

/// Drops announcements that nobody has heard again for long, and those whose time is over;
/// returns the servers whose limits end by that.
pub fn expire(state: &mut NoticeState, now: ClockTime) -> Vec<HostName> {
    super::presence::expire_presence(state, now);
    super::cold::expire_sends(state, now);
    let mut ended = Vec::new();
    state.limits.retain(|server, entry| {
        let validity = match entry.limit {
            Some(_) => LIMIT_VALIDITY,
            None => END_VALIDITY,
        };
        let is_kept = now.since(entry.heard_at) < validity;
        if !is_kept && entry.limit.is_some() {
            ended.push(server.clone());
        }
        is_kept
    });
    ended
}
