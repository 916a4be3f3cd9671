//! This node's share of the limits, and the use of its turns.

use base::prelude::*;

use crate::{NodeShare, NoticeState};

/// Sets this node's share of all limits.
pub fn set_share(state: &mut NoticeState, share: NodeShare, now: ClockTime) {
    let previous = state.share.fraction;
    for entry in state.limits.values_mut() {
        if let Some(limit) = entry.limit {
            entry.allowance.advance(limit.per_second() * previous, now);
        }
    }
    state.share = NodeShare {
        fraction: share.fraction.clamp(0.0, 1.0),
        position: share.position,
    };
}

/// Uses one of this node's turns at a server; nothing changes if the server has no limit and is
/// not cold.
///
/// Requests to servers that are warm count as well where servers can be cold, as a server may
/// become cold at any time.
pub fn take_turn(state: &mut NoticeState, server: &HostName, now: ClockTime) {
    if state.has_cold_limits {
        state.sent.entry(server.clone()).or_default().record(now);
    }
    let fraction = state.share.fraction;
    let Some(entry) = state.limits.get_mut(server) else {
        return;
    };
    if let Some(limit) = entry.limit {
        entry.allowance.advance(limit.per_second() * fraction, now);
        entry.allowance.take_turn();
    }
}
