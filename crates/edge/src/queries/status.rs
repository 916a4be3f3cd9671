//! Status of the node.

use base::prelude::*;

use crate::border::ports::StoreCollection;
use crate::{EdgeState, EdgeStatus};

/// Status of the node.
///
/// A node is ready once it has a configuration and the endpoints or targets. An outage
/// of the store doesn't change that.
pub fn status(state: &EdgeState, _now: ClockTime) -> EdgeStatus {
    let is_listed = |collection| {
        state
            .collection(collection)
            .is_some_and(|entry| entry.is_listed)
    };
    let has_listed = is_listed(StoreCollection::Endpoints) && is_listed(StoreCollection::Shared);
    let has_config_and_targets =
        state.config.get().is_some() && (has_listed || state.received_targets.is_some());
    EdgeStatus {
        is_ready: has_config_and_targets && state.stopping.is_none(),
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
