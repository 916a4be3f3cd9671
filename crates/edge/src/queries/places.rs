//! Places that take requests.

use base::prelude::*;
use relay::SendTarget;
use replicas::{Presence, queries::serving_groups};

use crate::EdgeState;

/// Heads of groups that serve, and plain servers that are ready.
pub(crate) fn places(state: &EdgeState) -> Vec<SendTarget> {
    let Some(intent) = state.intent.get() else {
        return Vec::new();
    };
    let engine_slots = |service: &ServiceName| {
        let engine = intent
            .services
            .get(service)
            .and_then(|service| service.engine.as_ref());
        engine.map(|engine| engine.slots)
    };
    let scale = |head: &HostName, slots: usize| {
        let pace = state.paces.get(head);
        pace.map_or(slots, |pace| pace.scale(slots))
    };
    let groups = serving_groups(&state.planner)
        .into_iter()
        .map(|group| SendTarget {
            slots: scale(&group.head, engine_slots(&group.service).unwrap_or(1)),
            id: group.head,
            address: group.address,
            domain: group.zone,
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
            address: endpoint.address,
            domain: endpoint.zone.clone(),
            service: endpoint.service.clone(),
            model: None,
            epoch: GroupEpoch::default(),
            slots: endpoint.slots,
        });
    groups.chain(plain).collect()
}
