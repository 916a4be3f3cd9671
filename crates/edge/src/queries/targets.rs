//! Servers that can be sent requests.

use base::prelude::*;
use relay::SendTarget;
use replicas::{Presence, queries::serving_groups};

use super::cold::{cold_window, with_cold_domains};
use super::hubs::{local_targets_version, read_targets_version};
use crate::EdgeState;
use crate::peer::TargetsVersion;

/// Heads of the groups that serve, and plain servers that are ready.
pub(crate) fn ready_targets(state: &EdgeState) -> Vec<SendTarget> {
    let Some(config) = state.config.get() else {
        return Vec::new();
    };
    let engine_slots = |service: &ServiceName| {
        let engine = config
            .services
            .get(service)
            .and_then(|service| service.engine.as_ref());
        engine.map(|engine| engine.slots)
    };
    let scale = |head: &HostName, slots: usize| {
        let pace = state.slow_groups.get(head);
        pace.map_or(slots, |pace| pace.scale(slots))
    };
    let groups = serving_groups(&state.planner)
        .into_iter()
        .map(|group| SendTarget {
            cold: cold_window(
                state,
                &group.head,
                group.incarnation,
                &group.domain,
                &group.service,
            ),
            slots: scale(&group.head, engine_slots(&group.service).unwrap_or(1)),
            id: group.head,
            incarnation: group.incarnation,
            address: group.address,
            domain: group.domain,
            service: group.service,
            model: Some(group.model),
            epoch: group.epoch,
        });
    let views = state.planner.endpoints().values();
    let plain = views
        .map(|view| &view.endpoint)
        .filter(|endpoint| endpoint.presence == Presence::Ready)
        .filter(|endpoint| engine_slots(&endpoint.service).is_none())
        .map(|endpoint| SendTarget {
            id: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            address: endpoint.address,
            domain: endpoint.domain.clone(),
            service: endpoint.service.clone(),
            model: None,
            epoch: GroupEpoch::default(),
            slots: endpoint.slots,
            cold: cold_window(
                state,
                &endpoint.id,
                endpoint.incarnation,
                &endpoint.domain,
                &endpoint.service,
            ),
        });
    groups.chain(plain).collect()
}

/// Where the targets come from that a node uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetsSource {
    /// Its own view of the endpoints and of the groups.
    Own,
    /// The owner's message.
    Owner,
    /// The groups of the owner's message whose head it lists as ready, and the plain servers that
    /// it lists.
    OwnerGroups,
}

/// Chooses between a node's own view and the owner's message, whichever is newer.
///
/// Own groups need both: from newer endpoints and an older record, all groups formed since would
/// be missing.
pub fn choose_source(own: TargetsVersion, received: TargetsVersion) -> TargetsSource {
    if own.endpoints < received.endpoints {
        TargetsSource::Owner
    } else if own.record < received.record {
        TargetsSource::OwnerGroups
    } else {
        TargetsSource::Own
    }
}

/// What of a message with targets replaces what a node has of the owner's targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NewerPart {
    /// All of it.
    All,
    /// The groups, which are of a newer record and of older endpoints.
    Groups,
    /// The plain servers, which are of newer endpoints and of an older record.
    Plain,
}

/// Part of a message that is newer than what a node has; `None` if nothing is.
pub(crate) fn newer_part(known: TargetsVersion, received: TargetsVersion) -> Option<NewerPart> {
    let has_newer_record = received.record > known.record;
    let has_newer_endpoints = received.endpoints > known.endpoints;
    match (has_newer_record, has_newer_endpoints) {
        (false, false) => None,
        (true, false) if received.endpoints < known.endpoints => Some(NewerPart::Groups),
        (false, true) if received.record < known.record => Some(NewerPart::Plain),
        _ => Some(NewerPart::All),
    }
}

/// Owner's targets that a node has after another message with targets: the groups of the newer
/// record and the plain servers of the newer endpoints; `None` if nothing of it is newer.
pub fn merge_targets(
    known: &(Arc<[SendTarget]>, TargetsVersion),
    received: (Arc<[SendTarget]>, TargetsVersion),
) -> Option<(Arc<[SendTarget]>, TargetsVersion)> {
    let (known_targets, known_version) = known;
    let (targets, version) = &received;
    let (groups, plain) = match newer_part(*known_version, *version)? {
        NewerPart::All => return Some(received),
        NewerPart::Groups => (targets, known_targets),
        NewerPart::Plain => (known_targets, targets),
    };
    let groups = groups.iter().filter(|target| target.model.is_some());
    let plain = plain.iter().filter(|target| target.model.is_none());
    let merged = groups.chain(plain).cloned().collect();
    let version = TargetsVersion {
        latest: version.latest.max(known_version.latest),
        endpoints: version.endpoints.max(known_version.endpoints),
        record: version.record.max(known_version.record),
    };
    Some((merged, version))
}

/// Whether a node that has targets of this version lacks a part of the others.
pub(crate) fn lacks_targets(known: TargetsVersion, others: TargetsVersion) -> bool {
    known.endpoints < others.endpoints || known.record < others.record
}

/// Targets that this node should use now, and their version: those of its newest view, without
/// servers that have left since.
pub(crate) fn current_targets(state: &EdgeState) -> (Arc<[SendTarget]>, TargetsVersion) {
    let (targets, version, groups_read) = newest_targets(state);
    let targets = with_cold_domains(state, targets);
    let has_departed = |target: &SendTarget| {
        let read = match target.model {
            Some(_) => groups_read,
            None => version.endpoints,
        };
        (state.departures).has_departed(&target.id, target.incarnation, read)
    };
    if !targets.iter().any(has_departed) {
        return (targets, version);
    }
    let present = targets.iter().filter(|target| !has_departed(target));
    (present.cloned().collect(), version)
}

/// Targets of this node's own view or of the owner's message, whichever is newer, and the revision
/// up to which the endpoints were read that its groups are of.
fn newest_targets(state: &EdgeState) -> (Arc<[SendTarget]>, TargetsVersion, ObjectVersion) {
    let local = local_targets_version(state);
    let own = || (ready_targets(state).into(), local, local.endpoints);
    let Some((received, version)) = &state.received_targets else {
        return own();
    };
    match choose_source(read_targets_version(state), *version) {
        TargetsSource::Own => own(),
        TargetsSource::Owner => (received.clone(), *version, state.received_groups_read),
        TargetsSource::OwnerGroups => {
            let version = TargetsVersion {
                endpoints: local.endpoints,
                ..*version
            };
            let targets = correct_targets(state, received);
            (targets, version, local.endpoints)
        }
    }
}

/// Targets of the owner's message, corrected by this node's own list of the endpoints.
fn correct_targets(state: &EdgeState, received: &Arc<[SendTarget]>) -> Arc<[SendTarget]> {
    let endpoints = state.planner.endpoints();
    let is_ready = |id: &HostName| {
        let view = endpoints.get(id);
        view.is_some_and(|view| view.endpoint.presence == Presence::Ready)
    };
    let groups = received.iter().filter(|target| target.model.is_some());
    let groups = groups.filter(|target| is_ready(&target.id)).cloned();
    let plain = ready_targets(state).into_iter();
    let plain = plain.filter(|target| target.model.is_none());
    groups.chain(plain).collect()
}
