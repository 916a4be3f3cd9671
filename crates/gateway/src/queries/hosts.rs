//! Which hosts matter and where they are.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use groups::GroupRecord;
use routing::TargetId;

use crate::{AttemptPlace, GatewayState};

/// Hosts whose answers matter, with the addresses of their endpoints.
pub(crate) fn watched_hosts(state: &GatewayState) -> BTreeMap<HostName, SocketAddr> {
    let members = recorded_groups(state)
        .flat_map(|group| &group.members)
        .map(|member| (member.host.clone(), member.address));
    members.collect()
}

/// Address of a target, and the group that is meant.
pub(crate) fn locate(
    state: &GatewayState,
    target: &TargetId,
) -> Option<(SocketAddr, Option<AttemptPlace>)> {
    match target {
        TargetId::Host(host) => Some((state.watch.hosts.get(host)?.address, None)),
        TargetId::Group(name) => {
            let group = recorded_groups(state).find(|group| group.group == *name)?;
            let place = AttemptPlace {
                group: name.clone(),
                epoch: group.epoch,
            };
            Some((group.members.first()?.address, Some(place)))
        }
    }
}

pub(super) fn recorded_groups(state: &GatewayState) -> impl Iterator<Item = &GroupRecord> {
    state.fabrics.values().flat_map(|view| &view.record.groups)
}
