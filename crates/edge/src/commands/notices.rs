//! What servers announce: heard by this node or reported by others, and this node's share.

use base::prelude::*;
use notices::commands::{expire, merge_leaving, merge_report, set_share};
use notices::{LimitChange, NoticeChange, ServerNotice, ServerRun};

use super::refresh_targets;
use crate::peer::Digest;
use crate::queries::node_share;
use crate::{EdgeEffect, EdgeState};

/// Records what a server announced in the response to a request.
pub(crate) fn record_notice(
    state: &mut EdgeState,
    run: &ServerRun,
    id: &str,
    notice: ServerNotice,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let server = &run.server;
    let changes = notices::commands::record_notice(state.relay.notices_mut(), run, notice, now);
    for change in &changes {
        match change {
            NoticeChange::Limit(LimitChange::Named(limit)) => {
                log::info!(request:% = id, place:% = server, limit = limit.per_second(); "server names a limit");
            }
            NoticeChange::Limit(LimitChange::Ended) => {
                log::info!(request:% = id, place:% = server; "server names no limit any more");
            }
            NoticeChange::Leaving => {
                log::info!(request:% = id, place:% = server; "server announces that it leaves");
                stop_using(state, [run]);
            }
            NoticeChange::Paused(until) => {
                let pause_ms = until.since(now).as_millis() as u64;
                log::info!(request:% = id, place:% = server, pause_ms; "server wants no requests for a while");
            }
        }
    }
    changes.into_iter().map(count_notice).collect()
}

/// Adds what another node has heard from servers.
pub(super) fn merge_reports(
    state: &mut EdgeState,
    digest: &Digest,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let from = &digest.from;
    let mut changes = Vec::new();
    for report in &digest.limits {
        let Some(change) = merge_report(state.relay.notices_mut(), report, now) else {
            continue;
        };
        match change {
            LimitChange::Named(limit) => {
                log::info!(place:% = report.server, node:% = from, limit = limit.per_second(); "server names a limit to another node");
            }
            LimitChange::Ended => {
                log::info!(place:% = report.server, node:% = from; "server names no limit to another node any more");
            }
        }
        changes.push(NoticeChange::Limit(change));
    }
    let mut left = Vec::new();
    for report in &digest.leaving {
        if merge_leaving(state.relay.notices_mut(), report) {
            log::info!(place:% = report.run.server, node:% = from; "server announces to another node that it leaves");
            left.push(&report.run);
            changes.push(NoticeChange::Leaving);
        }
    }
    stop_using(state, left);
    changes.into_iter().map(count_notice).collect()
}

/// Treats servers that leave as if the list of endpoints said so, whatever it says.
fn stop_using<'a>(state: &mut EdgeState, runs: impl IntoIterator<Item = &'a ServerRun>) {
    let mut is_changed = false;
    for run in runs {
        is_changed |=
            replicas::commands::record_leaving(&mut state.planner, &run.server, run.incarnation);
    }
    if is_changed {
        refresh_targets(state);
        state.needs_plan = true;
    }
}

/// Updates this node's share of all limits, and drops announcements that are too old.
pub(super) fn update_share(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    let share = node_share(state, now);
    state.relay.set_weight_ratio(1.0 / share.fraction);
    let notices = state.relay.notices_mut();
    set_share(notices, share, now);
    let expired = expire(notices, now);
    for server in &expired {
        log::info!(place:% = server; "limit of a server has expired");
    }
    let ended = expired
        .iter()
        .map(|_| NoticeChange::Limit(LimitChange::Ended));
    ended.map(count_notice).collect()
}

fn count_notice(change: NoticeChange) -> EdgeEffect {
    EdgeEffect::CountNotice(match change {
        NoticeChange::Limit(LimitChange::Named(_)) => "limit",
        NoticeChange::Limit(LimitChange::Ended) => "limit-ended",
        NoticeChange::Leaving => "leaving",
        NoticeChange::Paused(_) => "pause",
    })
}
