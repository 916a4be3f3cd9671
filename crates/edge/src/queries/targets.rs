//! Servers that can be sent requests.

use base::prelude::*;
use relay::SendTarget;
use replicas::{Presence, queries::serving_groups};

use crate::EdgeState;
use crate::border::ports::StoreCollection;

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
        });
    groups.chain(plain).collect()
}

/// Targets of the owner's message, corrected by this node's own list of the endpoints if that
/// is newer: plain servers as listed, and only groups whose head is listed as ready.
pub(crate) fn current_targets(
    state: &EdgeState,
    received: &Arc<[SendTarget]>,
    version: ObjectVersion,
) -> Arc<[SendTarget]> {
    let listed = state.collection(StoreCollection::Endpoints);
    if listed.is_none_or(|entry| entry.revision <= version) {
        return received.clone();
    }
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
