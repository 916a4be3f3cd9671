//! Updates of the platform's endpoint list.

use std::collections::BTreeSet;

use base::prelude::*;

use crate::state::{EndpointView, is_standby};
use crate::{Endpoint, PlannerState};

/// Change of the endpoint list.
#[derive(Clone, Debug)]
pub enum ListChange {
    /// An endpoint was added or changed.
    Put(Endpoint),
    /// An endpoint was removed.
    Removed(HostName),
}

/// Replaces the whole list.
///
/// After a store outage, entries may be missing that are listed again soon; their
/// endpoints are kept for a grace period.
pub fn replace_list(
    state: &mut PlannerState,
    list: Vec<Endpoint>,
    after_outage: bool,
    now: ClockTime,
) {
    let listed: BTreeSet<_> = list.iter().map(|endpoint| endpoint.id.clone()).collect();
    for endpoint in list {
        upsert(state, endpoint, now);
    }
    let expires_at = if after_outage {
        now + state.settings.relist_grace_period
    } else {
        now
    };
    for (id, view) in &mut state.endpoints {
        if !listed.contains(id) {
            view.expires_at.get_or_insert(expires_at);
        }
    }
    remove_expired(state, now);
}

/// Applies one change of the list.
pub fn change_list(
    state: &mut PlannerState,
    change: ListChange,
    after_outage: bool,
    now: ClockTime,
) {
    let relist_grace_period = state.settings.relist_grace_period;
    match change {
        ListChange::Put(endpoint) => upsert(state, endpoint, now),
        ListChange::Removed(id) if after_outage => {
            if let Some(view) = state.endpoints.get_mut(&id) {
                view.expires_at.get_or_insert(now + relist_grace_period);
            }
        }
        ListChange::Removed(id) => {
            state.endpoints.remove(&id);
            state.loads.finish(&id);
        }
    }
}

fn upsert(state: &mut PlannerState, endpoint: Endpoint, now: ClockTime) {
    let id = endpoint.id.clone();
    match state.endpoints.get_mut(&id) {
        Some(view) if view.endpoint.incarnation == endpoint.incarnation => {
            let previous = &view.endpoint;
            let is_stale = previous.is_newer_than(endpoint.sequence, endpoint.membership.as_ref());
            let newer_state = (
                previous.sequence,
                previous.staged.clone(),
                previous.membership.clone(),
            );
            view.endpoint = endpoint;
            if is_stale {
                (
                    view.endpoint.sequence,
                    view.endpoint.staged,
                    view.endpoint.membership,
                ) = newer_state;
            }
            view.expires_at = None;
        }
        _ => {
            state.loads.finish(&id);
            state
                .endpoints
                .insert(id.clone(), EndpointView::new(endpoint, now));
        }
    }
    update_resident_model(state, &id);
}

/// Updates the model that an endpoint has in memory from the group that it has joined.
pub(super) fn update_resident_model(state: &mut PlannerState, id: &HostName) {
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
        Some(group) => view.resident_model = Some(group.model.clone()),
        None if is_standby(&membership.group) || view.resident_model.is_none() => {
            view.resident_model = view.endpoint.staged.first().cloned();
        }
        None => {}
    }
    state.loads.finish(id);
}

/// Removes endpoints whose grace period has ended.
pub(super) fn remove_expired(state: &mut PlannerState, now: ClockTime) {
    state
        .endpoints
        .retain(|_, view| view.expires_at.is_none_or(|at| at > now));
}
