//! Takes in the platform's list of endpoints.

use std::collections::BTreeSet;

use base::prelude::*;

use crate::state::{EndpointView, is_park};
use crate::{Endpoint, PlannerState};

/// Change of the list.
#[derive(Clone, Debug)]
pub enum ListChange {
    /// An endpoint is there, or has changed.
    Put(Endpoint),
    /// An endpoint was removed.
    Removed(HostName),
}

/// Takes in the whole list.
///
/// After an outage of the store, entries may be missing that come back soon;
/// their endpoints are kept for a while.
pub fn replace_list(
    state: &mut PlannerState,
    list: Vec<Endpoint>,
    after_outage: bool,
    now: ClockTime,
) {
    let listed: BTreeSet<_> = list.iter().map(|endpoint| endpoint.id.clone()).collect();
    for endpoint in list {
        put(state, endpoint, now);
    }
    let gone_at = if after_outage {
        now + state.settings.relist_span
    } else {
        now
    };
    for (id, view) in &mut state.endpoints {
        if !listed.contains(id) {
            view.gone_at.get_or_insert(gone_at);
        }
    }
    drop_gone(state, now);
}

/// Takes in one change of the list.
pub fn change_list(
    state: &mut PlannerState,
    change: ListChange,
    after_outage: bool,
    now: ClockTime,
) {
    let relist_span = state.settings.relist_span;
    match change {
        ListChange::Put(endpoint) => put(state, endpoint, now),
        ListChange::Removed(id) if after_outage => {
            if let Some(view) = state.endpoints.get_mut(&id) {
                view.gone_at.get_or_insert(now + relist_span);
            }
        }
        ListChange::Removed(id) => {
            state.endpoints.remove(&id);
            state.loads.finish(&id);
        }
    }
}

fn put(state: &mut PlannerState, endpoint: Endpoint, now: ClockTime) {
    let id = endpoint.id.clone();
    match state.endpoints.get_mut(&id) {
        Some(view) if view.endpoint.incarnation == endpoint.incarnation => {
            let known = &view.endpoint;
            let is_stale = known.is_newer_than(endpoint.sequence, endpoint.membership.as_ref());
            let known = (
                known.sequence,
                known.staged.clone(),
                known.membership.clone(),
            );
            view.endpoint = endpoint;
            if is_stale {
                (
                    view.endpoint.sequence,
                    view.endpoint.staged,
                    view.endpoint.membership,
                ) = known;
            }
            view.gone_at = None;
        }
        _ => {
            state.loads.finish(&id);
            state
                .endpoints
                .insert(id.clone(), EndpointView::new(endpoint, now));
        }
    }
    learn_model(state, &id);
}

/// Notes the model of the group that an endpoint has joined.
pub(super) fn learn_model(state: &mut PlannerState, id: &HostName) {
    let Some(view) = state.endpoints.get_mut(id) else {
        return;
    };
    let Some(membership) = &view.endpoint.membership else {
        return;
    };
    if !membership.phase.has_joined() {
        return;
    }
    let groups = &state.record.groups;
    let group = groups.iter().find(|group| group.epoch == membership.epoch);
    match group {
        Some(group) => view.last_model = Some(group.model.clone()),
        None if is_park(&membership.group) || view.last_model.is_none() => {
            view.last_model = view.endpoint.staged.first().cloned();
        }
        None => {}
    }
    state.loads.finish(id);
}

/// Forgets endpoints whose time has run out.
pub(super) fn drop_gone(state: &mut PlannerState, now: ClockTime) {
    state
        .endpoints
        .retain(|_, view| view.gone_at.is_none_or(|at| at > now));
}
