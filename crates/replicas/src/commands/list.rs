//! Updates of the platform's endpoint list.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

use super::restored_list::{record_departure, release_withheld};
use crate::queries::is_expiry_likely;
use crate::state::{EndpointView, is_standby};
use crate::{Endpoint, PlannerState, Presence};

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
/// `keep_until` is the end of the grace period after a store outage, in which expired entries
/// may be listed again; see [`is_expiry_likely`].
pub fn replace_list(
    state: &mut PlannerState,
    list: Vec<Endpoint>,
    keep_until: Option<ClockTime>,
    now: ClockTime,
) {
    let listed: BTreeSet<_> = list.iter().map(|endpoint| endpoint.id.clone()).collect();
    for endpoint in list {
        upsert(state, endpoint, now);
    }
    let ids = state.endpoints.keys();
    let missing = ids.filter(|id| !listed.contains(*id)).cloned().collect();
    state.withheld.clear();
    remove_missing(state, missing, keep_until, now);
    expire_endpoints(state, now);
}

/// Applies changes of the list; `keep_until` as in [`replace_list`].
pub fn change_list(
    state: &mut PlannerState,
    changes: Vec<ListChange>,
    keep_until: Option<ClockTime>,
    now: ClockTime,
) {
    let mut missing = BTreeSet::new();
    for change in changes {
        match change {
            ListChange::Put(endpoint) => {
                missing.remove(&endpoint.id);
                state.withheld.remove(&endpoint.id);
                upsert(state, endpoint, now);
            }
            ListChange::Removed(id) => {
                state.withheld.remove(&id);
                missing.insert(id);
            }
        }
    }
    remove_missing(state, missing, keep_until, now);
}

/// Removes endpoints that are no longer listed, or keeps them until the end of the grace period
/// if their entries have rather expired.
fn remove_missing(
    state: &mut PlannerState,
    missing: BTreeSet<HostName>,
    keep_until: Option<ClockTime>,
    now: ClockTime,
) {
    let expired_services = match keep_until {
        Some(_) => services_with_expired_entries(state, &missing),
        None => BTreeSet::new(),
    };
    for id in missing {
        let Some(view) = state.endpoints.get_mut(&id) else {
            continue;
        };
        let is_expired = expired_services.contains(&view.endpoint.service)
            && view.endpoint.presence == Presence::Ready;
        match keep_until.filter(|_| is_expired) {
            Some(until) => {
                let expires_at = *view.expires_at.get_or_insert(until);
                state.expiry_due = earlier(state.expiry_due, expires_at);
            }
            None => remove(state, &id, now),
        }
    }
}

/// Services whose missing endpoints have rather expired than left.
fn services_with_expired_entries(
    state: &PlannerState,
    missing: &BTreeSet<HostName>,
) -> BTreeSet<ServiceName> {
    let mut counts: BTreeMap<&ServiceName, (usize, usize)> = BTreeMap::new();
    for (id, view) in &state.endpoints {
        if view.endpoint.presence != Presence::Ready {
            continue;
        }
        let (missing_count, known_count) = counts.entry(&view.endpoint.service).or_default();
        *known_count += 1;
        *missing_count += usize::from(missing.contains(id) || view.expires_at.is_some());
    }
    let expired = counts
        .into_iter()
        .filter(|(_, (missing_count, known_count))| is_expiry_likely(*missing_count, *known_count));
    expired.map(|(service, _)| service.clone()).collect()
}

fn remove(state: &mut PlannerState, id: &HostName, now: ClockTime) {
    if let Some(view) = state.endpoints.remove(id) {
        record_departure(state, &view.endpoint, now);
    }
    state.loads.finish(id);
}

pub(super) fn upsert(state: &mut PlannerState, endpoint: Endpoint, now: ClockTime) {
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
            if view.has_announced_leaving {
                view.endpoint.presence = Presence::Leaving;
            }
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

/// Records that an endpoint has announced itself that it leaves; returns whether that is news.
pub fn record_leaving(
    state: &mut PlannerState,
    id: &HostName,
    incarnation: HostIncarnation,
) -> bool {
    let Some(view) = state.endpoints.get_mut(id) else {
        return false;
    };
    if view.endpoint.incarnation != incarnation {
        return false;
    }
    view.has_announced_leaving = true;
    let previous = std::mem::replace(&mut view.endpoint.presence, Presence::Leaving);
    previous != Presence::Leaving
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

/// Removes endpoints whose grace period has ended; returns their number.
pub fn expire_endpoints(state: &mut PlannerState, now: ClockTime) -> usize {
    if state.expiry_due.is_none_or(|due| due > now) {
        return 0;
    }
    let views = state.endpoints.iter();
    let expired = views.filter(|(_, view)| view.expires_at.is_some_and(|at| at <= now));
    let expired: Vec<_> = expired.map(|(id, _)| id.clone()).collect();
    for id in &expired {
        remove(state, id, now);
    }
    release_withheld(state, now);
    let views = state.endpoints.values();
    let next = views.filter_map(|view| view.expires_at).min();
    state.expiry_due = match state.settled_at {
        Some(settled_at) => earlier(next, settled_at),
        None => next,
    };
    expired.len()
}

/// Earlier of an instant that may be missing and another one.
pub(super) fn earlier(current: Option<ClockTime>, other: ClockTime) -> Option<ClockTime> {
    Some(current.map_or(other, |current| current.min(other)))
}
