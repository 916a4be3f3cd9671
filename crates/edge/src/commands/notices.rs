//! What servers announce: heard by this node or reported by others, and this node's share.

use base::prelude::*;
use notices::commands::{expire, merge_report, record_limit, set_share};
use notices::{LimitChange, LimitReport, NodeShare, ServerNotice};

use crate::queries::node_share;
use crate::{EdgeEffect, EdgeState};

/// Records what a server announced in the response to a request.
pub(crate) fn record_notice(
    state: &mut EdgeState,
    server: &HostName,
    id: &str,
    notice: ServerNotice,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let change = record_limit(state.relay.notices_mut(), server, notice.limit, now);
    let Some(change) = change else {
        return Vec::new();
    };
    match change {
        LimitChange::Named(limit) => {
            log::info!(id:% = id, place:% = server, limit = limit.per_second(); "server names a limit");
        }
        LimitChange::Ended => {
            log::info!(id:% = id, place:% = server; "server names no limit any more");
        }
    }
    vec![count_change(change)]
}

/// Adds what another node has heard from servers.
pub(super) fn merge_reports(
    state: &mut EdgeState,
    from: &NodeName,
    reports: &[LimitReport],
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let mut effects = Vec::new();
    for report in reports {
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
        effects.push(count_change(change));
    }
    effects
}

/// Updates this node's share of all limits, and drops announcements that are too old.
pub(super) fn update_share(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    let share: NodeShare = node_share(state, now);
    let notices = state.relay.notices_mut();
    set_share(notices, share, now);
    let expired = expire(notices, now);
    for server in &expired {
        log::info!(place:% = server; "limit of a server has expired");
    }
    let changes = expired.iter().map(|_| count_change(LimitChange::Ended));
    changes.collect()
}

fn count_change(change: LimitChange) -> EdgeEffect {
    EdgeEffect::CountLimits {
        change: match change {
            LimitChange::Named(_) => "named",
            LimitChange::Ended => "ended",
        },
        count: 1,
    }
}
