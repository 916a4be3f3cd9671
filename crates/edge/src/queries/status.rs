//! How the node is.

use base::prelude::*;

use crate::border::ports::Feed;
use crate::{EdgeState, EdgeStatus};

/// How the node is.
///
/// A node is ready once it knows a configuration and the endpoints; a lost
/// store changes nothing about that.
pub fn status(state: &EdgeState, _now: ClockTime) -> EdgeStatus {
    let is_listed = |feed| state.feed(feed).is_some_and(|known| known.is_listed);
    let has_read = is_listed(Feed::Endpoints) && is_listed(Feed::Shared);
    let knows = state.intent.get().is_some() && (has_read || state.told_places.is_some());
    EdgeStatus {
        is_ready: knows && state.stopping.is_none(),
        is_stopping: state.stopping.is_some(),
        intent_version: state.intent.version(),
        is_owner: state.is_owner,
        serving: state
            .places
            .iter()
            .filter(|place| place.model.is_some())
            .count(),
        endpoints: state.planner.endpoints().len(),
        calls: state.relay.call_count(),
    }
}
