//! Hosts of the fabric domains that this node owns or may take.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;

use crate::ControllerState;

/// Hosts whose reports this node needs, with the addresses of their engines.
pub(crate) fn asked_hosts(
    state: &ControllerState,
    now: ClockTime,
) -> BTreeMap<HostName, SocketAddr> {
    let asked = state
        .fabrics
        .values()
        .filter(|fabric| fabric.needs_reports(now));
    let hosts = asked.flat_map(|fabric| fabric.hosts().values());
    hosts
        .map(|entry| (entry.host.clone(), entry.address))
        .collect()
}

/// Whether no lease is held any more.
pub(crate) fn has_released(state: &ControllerState, now: ClockTime) -> bool {
    state
        .fabrics
        .values()
        .all(|fabric| fabric.has_released(now))
}
