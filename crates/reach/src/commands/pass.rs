//! Nodes that pass requests on.

use base::prelude::*;

use crate::ReachState;

/// Leaves a node out for a while that could not pass a request on.
pub fn exclude_node(state: &mut ReachState, node: NodeName, now: ClockTime) {
    state.excluded.retain(|_, until| *until > now);
    let until = now + state.settings.pass_exclusion;
    state.excluded.insert(node, until);
}
