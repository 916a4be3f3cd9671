//! News of the platform's store.

use base::prelude::*;
use intent::AdoptOutcome;
use replicas::commands::{ListChange, change_list, replace_list};
use store::StoredObject;

use super::take_shared;
use crate::border::ports::{Feed, FeedChange, FeedItem};
use crate::queries::{own_places_version, places};
use crate::{EdgeEffect, EdgeState, FeedEvent};

/// Takes in news of a feed.
pub(crate) fn take_feed(
    state: &mut EdgeState,
    feed: Feed,
    news: FeedEvent,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    if matches!(news, FeedEvent::Lost) {
        let known = state.feeds.entry(feed).or_default();
        if !std::mem::replace(&mut known.is_lost, true) {
            log::warn!(feed = feed.as_str(); "the store gives no answers");
        }
        return Vec::new();
    }
    note_heard(state, feed, now);
    if let FeedEvent::Listed(_, revision) | FeedEvent::Changed(_, revision) = &news {
        let known = state.feeds.entry(feed).or_default();
        known.revision = known.revision.max(*revision);
    }
    let effects = match (feed, news) {
        (Feed::RoutingConfig, news) => {
            take_intents(state, news, now);
            Vec::new()
        }
        (Feed::Endpoints, FeedEvent::Listed(items, revision)) => {
            list_endpoints(state, items, revision, now);
            Vec::new()
        }
        (Feed::Endpoints, FeedEvent::Changed(changes, _)) => {
            change_endpoints(state, changes, now);
            Vec::new()
        }
        (Feed::Shared, FeedEvent::Listed(items, _)) => {
            let objects = items.into_iter().filter_map(shared_object).collect();
            take_shared(state, objects, true, now)
        }
        (Feed::Shared, FeedEvent::Changed(changes, _)) => {
            let puts = changes.into_iter().filter_map(|change| match change {
                FeedChange::Put(item) => shared_object(item),
                FeedChange::Removed(_) => None,
            });
            let objects = puts.collect();
            take_shared(state, objects, false, now)
        }
        (_, FeedEvent::Lost) => Vec::new(),
    };
    refresh_places(state);
    state.has_news = true;
    effects
}

fn note_heard(state: &mut EdgeState, feed: Feed, now: ClockTime) {
    let known = state.feeds.entry(feed).or_default();
    known.heard_at = Some(now);
    if std::mem::replace(&mut known.is_lost, false) {
        known.back_at = Some(now);
        log::info!(feed = feed.as_str(); "the store answers again");
    }
}

fn take_intents(state: &mut EdgeState, news: FeedEvent, now: ClockTime) {
    let items: Vec<_> = match news {
        FeedEvent::Listed(items, _) => {
            state.feeds.entry(Feed::RoutingConfig).or_default().is_listed = true;
            items
        }
        FeedEvent::Changed(changes, _) => changes
            .into_iter()
            .filter_map(|change| match change {
                FeedChange::Put(item) => Some(item),
                FeedChange::Removed(name) => {
                    log::warn!(name:% = name; "the configuration was removed; the last one stays in force");
                    None
                }
            })
            .collect(),
        FeedEvent::Lost => Vec::new(),
    };
    for item in items {
        match item {
            FeedItem::RoutingConfig(intent, text) => {
                adopt(state, intent, text, "store", now);
            }
            other => note_unreadable(&other, "the last configuration stays in force"),
        }
    }
}

/// Puts a configuration in force if it is newer; returns whether it was.
pub(crate) fn adopt(
    state: &mut EdgeState,
    intent: Arc<intent::RoutingConfig>,
    text: Arc<str>,
    source: &str,
    now: ClockTime,
) -> bool {
    let version = intent.version;
    let before = state.intent.version();
    match state.intent.adopt(intent) {
        AdoptOutcome::Adopted => {
            state.intent_text = Some(text);
            note_intent(state, version, now);
            log::info!(version, before:? = before, source; "a configuration is in force");
            true
        }
        AdoptOutcome::Same => false,
        AdoptOutcome::Older => {
            log::warn!(version, before:? = before, source; "an older configuration was left out");
            false
        }
    }
}

/// Notes since when a version is in force; of those that every node should have, the newest
/// stays.
fn note_intent(state: &mut EdgeState, version: u64, now: ClockTime) {
    let patience = state.times.intent_patience;
    let known = &mut state.intent_since;
    while (known.get(1)).is_some_and(|(_, since)| now.since(*since) >= patience) {
        known.pop_front();
    }
    known.push_back((version, now));
}

fn list_endpoints(
    state: &mut EdgeState,
    items: Vec<FeedItem>,
    revision: ObjectVersion,
    now: ClockTime,
) {
    let known = state.feeds.entry(Feed::Endpoints).or_default();
    known.is_listed = true;
    let after_outage = is_after_outage(state, now);
    let mut endpoints = Vec::new();
    for item in items {
        match item {
            FeedItem::Endpoint(endpoint) => endpoints.push(endpoint),
            other => note_unreadable(&other, "it names no endpoint"),
        }
    }
    log::info!(count = endpoints.len(), revision = revision.0, after_outage; "the endpoints were listed");
    replace_list(&mut state.planner, endpoints, after_outage, now);
}

fn is_after_outage(state: &EdgeState, now: ClockTime) -> bool {
    let back_at = state.feed(Feed::Endpoints).and_then(|known| known.back_at);
    back_at.is_some_and(|at| now.since(at) < state.times.relist_span)
}

fn change_endpoints(state: &mut EdgeState, changes: Vec<FeedChange>, now: ClockTime) {
    let after_outage = is_after_outage(state, now);
    for change in changes {
        let change = match change {
            FeedChange::Put(FeedItem::Endpoint(endpoint)) => ListChange::Put(endpoint),
            FeedChange::Put(other) => {
                note_unreadable(&other, "it names no endpoint");
                continue;
            }
            FeedChange::Removed(name) => match HostName::new(&name) {
                Ok(id) => {
                    log::info!(endpoint:% = id, after_outage; "an endpoint left the list");
                    ListChange::Removed(id)
                }
                Err(fault) => {
                    log::warn!("an entry that names no endpoint was removed: {fault}");
                    continue;
                }
            },
        };
        change_list(&mut state.planner, change, after_outage, now);
    }
}

fn shared_object(item: FeedItem) -> Option<StoredObject> {
    match item {
        FeedItem::Shared(object) => Some(object),
        other => {
            note_unreadable(&other, "it is left out");
            None
        }
    }
}

fn note_unreadable(item: &FeedItem, effect: &str) {
    if let FeedItem::Unreadable { name, reason } = item {
        log::warn!(name:% = name; "an object of the store can't be read, so {effect}: {reason}");
    }
}

/// Tells the relay which places take requests now.
pub(crate) fn refresh_places(state: &mut EdgeState) {
    let own_version = own_places_version(state);
    let told = state.told_places.as_ref();
    let told = told.filter(|(_, version)| *version > own_version);
    let (places, version) = match told {
        Some((places, version)) => (places.clone(), *version),
        None => (places(state).into(), own_version),
    };
    if places != state.places {
        state.places_version = version;
        relay::commands::set_targets(&mut state.relay, places.to_vec());
        state.places = places;
        state.has_new_places = true;
    }
}
