//! Hosts to poll, and the release of leases.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;

use crate::ControllerState;

/// Hosts whose reports this node needs, with the addresses of their engines.
pub(crate) fn hosts_to_poll(
    state: &ControllerState,
    now: ClockTime,
) -> BTreeMap<HostName, SocketAddr> {
    let fabrics = state
        .fabrics
        .values()
        .filter(|fabric| fabric.needs_reports(now));
    let hosts = fabrics.flat_map(|fabric| fabric.hosts().values());
    hosts
        .map(|entry| (entry.host.clone(), entry.address))
        .collect()
}

/// Whether this node holds no lease any more.
pub(crate) fn has_released(state: &ControllerState, now: ClockTime) -> bool {
    state
        .fabrics
        .values()
        .all(|fabric| fabric.has_released(now))
}
