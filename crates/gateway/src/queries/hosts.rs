//! Hosts to poll and addresses of targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use groups::GroupRecord;
use routing::TargetId;

use crate::{GatewayState, GroupGeneration};

/// Hosts whose reports are needed, with the addresses of their endpoints.
pub(crate) fn hosts_to_poll(state: &GatewayState) -> BTreeMap<HostName, SocketAddr> {
    let members = recorded_groups(state)
        .flat_map(|group| &group.members)
        .map(|member| (member.host.clone(), member.address));
    members.collect()
}

/// Address of a target and, for a group, its generation.
pub(crate) fn locate(
    state: &GatewayState,
    target: &TargetId,
) -> Option<(SocketAddr, Option<GroupGeneration>)> {
    match target {
        TargetId::Host(host) => Some((state.watch.hosts.get(host)?.address, None)),
        TargetId::Group(name) => {
            let group = recorded_groups(state).find(|group| group.group == *name)?;
            let generation = GroupGeneration {
                group: name.clone(),
                epoch: group.epoch,
            };
            Some((group.members.first()?.address, Some(generation)))
        }
    }
}

pub(super) fn recorded_groups(state: &GatewayState) -> impl Iterator<Item = &GroupRecord> {
    state
        .fabrics
        .values()
        .flat_map(|fabric| &fabric.record.groups)
}
