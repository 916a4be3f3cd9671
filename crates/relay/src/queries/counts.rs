//! What this node has running.

use base::prelude::*;

use crate::RelayState;

/// Requests of this node by place.
pub fn own_counts(state: &RelayState) -> Vec<(HostName, u32)> {
    let busy = state.loads.iter().filter(|(_, load)| load.own > 0);
    busy.map(|(id, load)| (id.clone(), load.own)).collect()
}
