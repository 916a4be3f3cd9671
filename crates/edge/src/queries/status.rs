//! Status of the node.

use base::prelude::*;

use super::config_age::{ConfigAge, config_age};
use super::evacuations::may_send;
use crate::border::ports::StoreCollection;
use crate::{Arrival, EdgeState, EdgeStatus};

/// Time after the start in which requests wait for the configuration and the targets, which
/// usually arrive within half of it.
const STARTUP_WAIT: Duration = Duration::from_millis(600);
/// Interval at which a waiting request checks for them.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Instant until which a request has to wait because this node has just started and doesn't
/// know yet where to send it.
///
/// After all nodes were lost, clients come back before the nodes know any server. A request
/// that waits for that moment is served sooner than one that is rejected and comes back, and
/// its client keeps its retry.
pub(crate) fn startup_wait(
    state: &EdgeState,
    arrival: &Arrival,
    now: ClockTime,
) -> Option<ClockTime> {
    let is_starting = now.since(state.started_at) < STARTUP_WAIT;
    let until = now + STARTUP_CHECK_INTERVAL;
    let has_time = arrival
        .client_deadline
        .is_none_or(|deadline| until < deadline);
    let is_prepared = has_config_and_targets(state) && may_send(state, now);
    (is_starting && has_time && !is_prepared).then_some(until)
}

fn has_config_and_targets(state: &EdgeState) -> bool {
    let is_listed = |collection| {
        state
            .collection(collection)
            .is_some_and(|entry| entry.is_listed)
    };
    let has_listed = is_listed(StoreCollection::Endpoints) && is_listed(StoreCollection::Shared);
    state.config.get().is_some() && (has_listed || state.received_targets.is_some())
}

/// Status of the node.
///
/// A node is ready once it has a configuration and the endpoints or targets, and knows which
/// failure domains are evacuated, unless the configuration is too old to be used. An outage of the
/// store doesn't change that.
pub fn status(state: &EdgeState, now: ClockTime) -> EdgeStatus {
    EdgeStatus {
        is_ready: has_config_and_targets(state)
            && may_send(state, now)
            && config_age(state, now) != ConfigAge::Outdated
            && state.stopping.is_none(),
        is_stopping: state.stopping.is_some(),
        config_version: state.config.version(),
        is_owner: state.is_owner,
        serving: state
            .targets
            .iter()
            .filter(|target| target.model.is_some())
            .count(),
        endpoints: state.planner.endpoints().len(),
        calls: state.relay.call_count(),
    }
}
