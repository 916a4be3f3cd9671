//! The platform's list of endpoints after its store was restored from an older copy.
//!
//! The copy lists endpoints as they were then: some have left since, others came. Every endpoint
//! that is alive writes its entry again within a few seconds, and entries that nobody writes are
//! removed. Until then this node's own memory prevails: endpoints that it saw leave are not used
//! because the copy lists them, and those that the copy lacks are kept for a while.

use base::prelude::*;

use super::list::{earlier, upsert};
use crate::state::EndpointDeparture;
use crate::{Endpoint, PlannerState, Presence};

/// Time for which a removed endpoint is remembered; a copy is some seconds old.
const DEPARTURE_VALIDITY: Duration = Duration::from_secs(60);
/// Largest number of removed endpoints that are remembered.
const MAX_DEPARTURES: usize = 4_096;

/// Times after a restore of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestoreTimes {
    /// Instant until which endpoints are kept that the copy lacks.
    pub keep_until: ClockTime,
    /// Instant from which the list holds whatever this node has seen before.
    pub settled_at: ClockTime,
}

/// Replaces the list by the first one after a restore of the store.
pub fn replace_restored_list(
    state: &mut PlannerState,
    list: Vec<Endpoint>,
    times: RestoreTimes,
    now: ClockTime,
) {
    let missing: Vec<_> = state
        .endpoints
        .keys()
        .filter(|id| !list.iter().any(|endpoint| endpoint.id == **id))
        .cloned()
        .collect();
    for endpoint in list {
        if has_left(state, &endpoint) {
            log::info!(endpoint:% = endpoint.id; "endpoint that has left is listed by the store's copy");
            state.withheld.insert(endpoint.id.clone(), endpoint);
        } else {
            upsert(state, endpoint, now);
        }
    }
    for id in missing {
        let Some(view) = state.endpoints.get_mut(&id) else {
            continue;
        };
        let deadline = match view.endpoint.presence {
            Presence::Ready => times.keep_until,
            Presence::Leaving => now,
        };
        let expires_at = *view.expires_at.get_or_insert(deadline);
        state.expiry_due = earlier(state.expiry_due, expires_at);
    }
    if !state.withheld.is_empty() {
        state.settled_at = Some(times.settled_at);
        state.expiry_due = earlier(state.expiry_due, times.settled_at);
    }
    super::list::expire_endpoints(state, now);
}

/// Whether this incarnation of an endpoint was removed or has announced that it leaves.
fn has_left(state: &PlannerState, endpoint: &Endpoint) -> bool {
    let departure = state.departures.get(&endpoint.id);
    if departure.is_some_and(|departure| departure.incarnation == endpoint.incarnation) {
        return true;
    }
    state.endpoints.get(&endpoint.id).is_some_and(|view| {
        view.endpoint.incarnation == endpoint.incarnation
            && view.endpoint.presence == Presence::Leaving
            && endpoint.presence == Presence::Ready
    })
}

/// Remembers that an endpoint was removed.
pub(super) fn record_departure(state: &mut PlannerState, endpoint: &Endpoint, now: ClockTime) {
    state
        .departures
        .retain(|_, departure| now.since(departure.at) < DEPARTURE_VALIDITY);
    if state.departures.len() < MAX_DEPARTURES {
        let departure = EndpointDeparture {
            incarnation: endpoint.incarnation,
            at: now,
        };
        state.departures.insert(endpoint.id.clone(), departure);
    }
}

/// Uses the endpoints that were withheld, once the list is settled.
pub(super) fn release_withheld(state: &mut PlannerState, now: ClockTime) {
    if state.settled_at.is_none_or(|at| at > now) {
        return;
    }
    state.settled_at = None;
    for endpoint in std::mem::take(&mut state.withheld).into_values() {
        upsert(state, endpoint, now);
    }
}
