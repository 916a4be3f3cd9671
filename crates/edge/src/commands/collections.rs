//! Changes of the collections in the platform's store.

use base::prelude::*;
use intent::queries::find_route;
use intent::{AdoptOutcome, ConfigNotices};
use replicas::commands::{
    ListChange, RestoreTimes, change_list, replace_list, replace_restored_list,
    restore_recorded_members,
};
use replicas::{Endpoint, Presence};
use store::StoredObject;

use super::cold::record_cold;
use super::departures::{ready_runs, record_departures};
use super::evacuations::apply_evacuations;
use super::{apply_shared_objects, refresh_targets};
use crate::border::ports::{CollectionChange, CollectionItem, StoreCollection};
use crate::{CollectionEvent, EdgeEffect, EdgeState};

/// Longest part of a text of another writer that is logged.
const MAX_LOGGED_CHARS: usize = 200;
/// Longest time from the beginning of a read of the configuration to its response.
const MAX_READ_DURATION: Duration = Duration::from_secs(7);

/// Applies the result of listing or watching a collection.
pub(crate) fn apply_collection_event(
    state: &mut EdgeState,
    collection: StoreCollection,
    event: CollectionEvent,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    if matches!(event, CollectionEvent::Unavailable) {
        let entry = state.collections.entry(collection).or_default();
        if !std::mem::replace(&mut entry.is_unavailable, true) {
            log::warn!(feed = collection.as_str(); "store unavailable");
        }
        return Vec::new();
    }
    let followed_since = state.collection(collection).and_then(|entry| {
        let is_listed = entry.first_listed_at.is_some();
        entry.last_response_at.filter(|_| is_listed)
    });
    record_store_response(state, collection, now);
    if collection == StoreCollection::RoutingConfig {
        // A read that began after a version was named has brought it, if it can be used.
        let read_began = now.before(MAX_READ_DURATION);
        state.config_notices.disprove(read_began);
    }
    if matches!(event, CollectionEvent::Listed(..)) {
        let entry = state.collections.entry(collection).or_default();
        entry.first_listed_at.get_or_insert(now);
    }
    if collection == StoreCollection::Evacuations {
        return apply_evacuations(state, event, now);
    }
    let is_endpoints = collection == StoreCollection::Endpoints;
    let ready = if is_endpoints {
        ready_runs(state)
    } else {
        Vec::new()
    };
    let mut is_restored = false;
    if let CollectionEvent::Listed(_, revision) | CollectionEvent::Changed(_, revision) = &event {
        let entry = state.collections.entry(collection).or_default();
        is_restored = entry.is_listed && entry.revision.era() < revision.era();
        entry.revision = entry.revision.max(*revision);
    }
    let effects = match (collection, event) {
        (StoreCollection::RoutingConfig, event) => {
            if is_restored {
                // Versions are counted anew.
                state.config_notices = ConfigNotices::default();
            }
            apply_configs(state, event, now);
            Vec::new()
        }
        (StoreCollection::Endpoints, CollectionEvent::Listed(items, revision)) => {
            record_cold(state, listed_endpoints(&items), followed_since, now);
            replace_endpoints(state, items, revision, is_restored, now);
            Vec::new()
        }
        (StoreCollection::Endpoints, CollectionEvent::Changed(changes, _)) => {
            let items = changes.iter().filter_map(|change| match change {
                CollectionChange::Put(item) => Some(item),
                CollectionChange::Removed(_) => None,
            });
            record_cold(state, listed_endpoints(items), followed_since, now);
            apply_endpoint_changes(state, changes, now);
            Vec::new()
        }
        (StoreCollection::Shared, CollectionEvent::Listed(items, _)) => {
            let objects = items.into_iter().filter_map(shared_object).collect();
            apply_shared_objects(state, objects, true, now)
        }
        (StoreCollection::Shared, CollectionEvent::Changed(changes, _)) => {
            let puts = changes.into_iter().filter_map(|change| match change {
                CollectionChange::Put(item) => shared_object(item),
                CollectionChange::Removed(_) => None,
            });
            let objects = puts.collect();
            apply_shared_objects(state, objects, false, now)
        }
        (StoreCollection::Evacuations, _) | (_, CollectionEvent::Unavailable) => Vec::new(),
    };
    let listed_at =
        (state.collection(StoreCollection::Endpoints)).and_then(|entry| entry.first_listed_at);
    if let Some(listed_at) = listed_at {
        let count = restore_recorded_members(&mut state.planner, listed_at, now);
        if count > 0 {
            log::info!(count; "recorded members that are not listed yet are kept");
        }
    }
    record_departures(state, ready, now);
    refresh_targets(state);
    state.needs_plan = true;
    effects
}

/// Endpoints among the items of a collection.
fn listed_endpoints<'a>(
    items: impl IntoIterator<Item = &'a CollectionItem>,
) -> impl Iterator<Item = &'a Endpoint> {
    items.into_iter().filter_map(|item| match item {
        CollectionItem::Endpoint(endpoint) => Some(endpoint),
        _ => None,
    })
}

fn record_store_response(state: &mut EdgeState, collection: StoreCollection, now: ClockTime) {
    let min_outage = state.times.min_outage;
    let entry = state.collections.entry(collection).or_default();
    let last_response_at = entry.last_response_at.replace(now);
    if std::mem::replace(&mut entry.is_unavailable, false) {
        let outage = last_response_at.map(|at| now.since(at));
        if outage.is_none_or(|outage| outage >= min_outage) {
            entry.recovered_at = Some(now);
        }
        let outage_ms = outage.map(|outage| outage.as_millis() as u64);
        log::info!(feed = collection.as_str(), outage_ms:? = outage_ms; "store available again");
    }
}

fn apply_configs(state: &mut EdgeState, event: CollectionEvent, now: ClockTime) {
    let items: Vec<_> = match event {
        CollectionEvent::Listed(items, _) => {
            state.collections.entry(StoreCollection::RoutingConfig).or_default().is_listed = true;
            items
        }
        CollectionEvent::Changed(changes, _) => changes
            .into_iter()
            .filter_map(|change| match change {
                CollectionChange::Put(item) => Some(item),
                CollectionChange::Removed(name) => {
                    log::warn!(name:% = name; "configuration removed from the store; keeping the active one");
                    None
                }
            })
            .collect(),
        CollectionEvent::Unavailable => Vec::new(),
    };
    for item in items {
        match item {
            CollectionItem::RoutingConfig(config, text) => {
                adopt_config(state, config, text, "store", now);
            }
            other => {
                log_unreadable(&other, "the active configuration is kept");
                state.config_notices.disprove(now);
            }
        }
    }
}

/// Activates a configuration if it is newer than the active one; returns whether it is.
pub(crate) fn adopt_config(
    state: &mut EdgeState,
    config: Arc<intent::RoutingConfig>,
    text: Arc<str>,
    source: &str,
    now: ClockTime,
) -> bool {
    let version = config.version;
    let before = state.config.version();
    match state.config.adopt(config.clone()) {
        AdoptOutcome::Adopted => {
            relay::commands::restrict_calls(&mut state.relay, |host, path| {
                find_route(&config, host, path)
            });
            relay::commands::set_engines(&mut state.relay, &config);
            let bytes = text.len();
            let known_since = state.config_notices.apply(version);
            let known_ms = known_since.map(|since| now.since(since).as_millis() as u64);
            state.config_text = Some(text);
            // What another node sends has had its time to be read.
            let delay = state.times.config_propagation_delay;
            let is_read = source == "store";
            let since = if is_read { now } else { now.before(delay) };
            record_config_version(state, version, since, now);
            log::info!(version, before:? = before, source, bytes, known_ms:? = known_ms; "configuration applied");
            true
        }
        AdoptOutcome::Same => false,
        AdoptOutcome::Older => {
            log::warn!(version, before:? = before, source; "older configuration ignored");
            false
        }
    }
}

/// Records since when other nodes can read a version. Of the versions that every node should have
/// by now, only the newest is kept.
fn record_config_version(state: &mut EdgeState, version: u64, since: ClockTime, now: ClockTime) {
    let propagation_delay = state.times.config_propagation_delay;
    let history = &mut state.config_history;
    while (history.get(1)).is_some_and(|(_, since)| now.since(*since) >= propagation_delay) {
        history.pop_front();
    }
    history.push_back((version, since));
}

fn replace_endpoints(
    state: &mut EdgeState,
    items: Vec<CollectionItem>,
    revision: ObjectVersion,
    is_restored: bool,
    now: ClockTime,
) {
    let entry = state
        .collections
        .entry(StoreCollection::Endpoints)
        .or_default();
    entry.is_listed = true;
    let keep_until = relist_deadline(state, now);
    let mut endpoints = Vec::new();
    for item in items {
        match item {
            CollectionItem::Endpoint(endpoint) => {
                log_leaving(state, &endpoint);
                endpoints.push(endpoint);
            }
            other => log_unreadable(&other, "it is ignored"),
        }
    }
    let after_outage = keep_until.is_some();
    log::info!(count = endpoints.len(), revision:% = revision, after_outage, is_restored; "endpoints listed");
    if is_restored {
        let times = RestoreTimes {
            keep_until: now + state.times.relist_window,
            settled_at: now + state.times.restore_settling_time,
        };
        replace_restored_list(&mut state.planner, endpoints, times, now);
    } else {
        replace_list(&mut state.planner, endpoints, keep_until, now);
    }
}

/// End of the time after an outage of the store in which expired entries may be listed again;
/// `None` if it is over.
fn relist_deadline(state: &EdgeState, now: ClockTime) -> Option<ClockTime> {
    let entry = state.collection(StoreCollection::Endpoints)?;
    let deadline = entry.recovered_at? + state.times.relist_window;
    (now < deadline).then_some(deadline)
}

fn apply_endpoint_changes(state: &mut EdgeState, changes: Vec<CollectionChange>, now: ClockTime) {
    let keep_until = relist_deadline(state, now);
    let after_outage = keep_until.is_some();
    let changes = changes.into_iter().filter_map(|change| match change {
        CollectionChange::Put(CollectionItem::Endpoint(endpoint)) => {
            log_leaving(state, &endpoint);
            Some(ListChange::Put(endpoint))
        }
        CollectionChange::Put(other) => {
            log_unreadable(&other, "it names no endpoint");
            let CollectionItem::Unreadable { name, .. } = other else {
                return None;
            };
            HostName::new(&name).ok().map(ListChange::Removed)
        }
        CollectionChange::Removed(name) => match HostName::new(&name) {
            Ok(id) => {
                log::info!(endpoint:% = id, after_outage; "endpoint removed");
                Some(ListChange::Removed(id))
            }
            Err(error) => {
                log::warn!("removal of an object without a valid endpoint name ignored: {error}");
                None
            }
        },
    });
    let changes: Vec<_> = changes.collect();
    change_list(&mut state.planner, changes, keep_until, now);
}

/// Logs that an endpoint that was ready is listed as leaving.
fn log_leaving(state: &EdgeState, endpoint: &Endpoint) {
    let known = state.planner.endpoints().get(&endpoint.id);
    let was_ready = known.is_some_and(|view| view.endpoint.presence == Presence::Ready);
    if was_ready && endpoint.presence == Presence::Leaving {
        log::info!(endpoint:% = endpoint.id; "endpoint is listed as leaving");
    }
}

/// Stops using endpoints that are still not listed at the end of their grace period, at nodes
/// that don't run the planner too.
pub(crate) fn expire_endpoints(state: &mut EdgeState, now: ClockTime) {
    if replicas::queries::next_expiry(&state.planner).is_none_or(|due| due > now) {
        return;
    }
    let ready = ready_runs(state);
    let count = replicas::commands::expire_endpoints(&mut state.planner, now);
    if count > 0 {
        record_departures(state, ready, now);
        log::info!(count; "endpoints that were not listed again removed");
        refresh_targets(state);
    }
}

fn shared_object(item: CollectionItem) -> Option<StoredObject> {
    match item {
        CollectionItem::Shared(object) => Some(object),
        other => {
            log_unreadable(&other, "it is ignored");
            None
        }
    }
}

pub(super) fn log_unreadable(item: &CollectionItem, effect: &str) {
    if let CollectionItem::Unreadable { name, reason } = item {
        let name = format_args!("{name:.MAX_LOGGED_CHARS$}");
        log::warn!(name:% = name; "object in the store can't be decoded, {effect}: {reason:.MAX_LOGGED_CHARS$}");
    }
}
