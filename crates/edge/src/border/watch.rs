//! Watches of the store's collections, one task for each.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::UnboundedSender;
use net::{sleep_until, with_deadline};

use super::ports::{ListOutcome, PlatformStore, StoreCollection, WatchOutcome};
use crate::{CollectionEvent, EdgeEvent, WatchMode};

/// Wait of a watch without peers that would send changes, and of one that has missed a change. It
/// bounds the time until a hung connection is noticed.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Wait of a watch of the endpoints or the configuration. A connection may hang without a reset,
/// and a watch may hear nothing while the store drops its history. Both can happen to all nodes
/// at once, so that no peer could help, and every node must know of changes within three seconds
/// of the fault.
const BOUNDED_WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Wait of a watch of shared objects, of which peers send the record at once.
const PEERED_WATCH_TIMEOUT: Duration = Duration::from_millis(8_000);
/// Delay after a failed call; it doubles with each failure.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Delay after changes of the endpoints at the owner, so that the next watch returns
/// several changes at once.
const OWNER_BATCH_DELAY: Duration = Duration::from_millis(30);
/// The same at other nodes, which must stop using a removed endpoint within two seconds.
const ENDPOINTS_BATCH_DELAY: Duration = Duration::from_millis(350);
/// The same for changes that the owner sends to the other nodes anyway.
const PEERED_BATCH_DELAY: Duration = Duration::from_millis(1_500);
/// Interval at which a node that is sent the targets checks whether it must watch the
/// store itself again.
const MODE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The same before the first list of a collection, for which requests may be waiting.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Wait of a watch of the configuration at a node that is sent the targets, as the hubs
/// also send it newer configurations.
const CONFIG_WATCH_TIMEOUT: Duration = Duration::from_millis(20_000);
/// Time beyond its wait after which a watch counts as hung; calls end by themselves before.
const WATCH_GRACE: Duration = Duration::from_millis(500);
/// Delay after changes of a configuration, or of the endpoints without peers that would
/// send changes.
const UNPEERED_BATCH_DELAY: Duration = Duration::from_millis(40);

/// Watches one collection until the event loop has ended.
pub(super) async fn watch_collection(
    collection: StoreCollection,
    store: Rc<dyn PlatformStore>,
    clock: Rc<dyn ClockSource>,
    events: UnboundedSender<EdgeEvent>,
    mode: Rc<Cell<WatchMode>>,
) {
    let mut revision: Option<ObjectVersion> = None;
    let mut delay = RETRY_DELAY;
    loop {
        let is_superseded = revision.is_some_and(|revision| store.is_superseded(revision));
        if is_superseded {
            log::info!(feed = collection.as_str(), since:% = revision.unwrap_or_default(); "store was restored from a copy; listing again");
            revision = None;
        }
        if !is_superseded && is_paused(collection, revision.is_some(), mode.get()) {
            let interval = if revision.is_some() {
                MODE_CHECK_INTERVAL
            } else {
                START_CHECK_INTERVAL
            };
            sleep_until(clock.as_ref(), clock.now() + interval).await;
            continue;
        }
        let (event, next_revision) = match revision {
            None => match store.list(collection).await {
                ListOutcome::Listed(items, at) => (CollectionEvent::Listed(items, at), Some(at)),
                ListOutcome::Unavailable => (CollectionEvent::Unavailable, None),
            },
            Some(since) => {
                match watch_until_outdated(collection, since, store.as_ref(), clock.as_ref(), &mode)
                    .await
                {
                    None => {
                        log::info!(feed = collection.as_str(), since:% = since; "watch replaced, as changes may be missing");
                        continue;
                    }
                    Some(outcome) => match outcome {
                        WatchOutcome::Changed(changes, at) => {
                            (CollectionEvent::Changed(changes, at), Some(at.max(since)))
                        }
                        WatchOutcome::Compacted => {
                            log::info!(feed = collection.as_str(), since:% = since; "watch revision compacted; listing again");
                            revision = None;
                            continue;
                        }
                        WatchOutcome::Unavailable => (CollectionEvent::Unavailable, Some(since)),
                    },
                }
            }
        };
        revision = next_revision;
        let is_unavailable = matches!(event, CollectionEvent::Unavailable);
        let has_changes =
            matches!(&event, CollectionEvent::Changed(changes, _) if !changes.is_empty());
        if events
            .unbounded_send(EdgeEvent::Collection(collection, event))
            .is_err()
        {
            return;
        }
        if is_unavailable {
            sleep_until(clock.as_ref(), clock.now() + delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        } else {
            delay = RETRY_DELAY;
            if has_changes {
                sleep_until(
                    clock.as_ref(),
                    clock.now() + batch_delay(collection, mode.get()),
                )
                .await;
            }
        }
    }
}

/// Watches a collection; `None` once the watch has lasted longer than it may by now.
///
/// A watch may wait for long because other nodes send the changes. Its connection may hang, so it
/// must end when they no longer do.
async fn watch_until_outdated(
    collection: StoreCollection,
    since: ObjectVersion,
    store: &dyn PlatformStore,
    clock: &dyn ClockSource,
    mode: &Cell<WatchMode>,
) -> Option<WatchOutcome> {
    let started_at = clock.now();
    let watch = store.watch(collection, since, watch_timeout(collection, mode.get()));
    let mut watch = pin!(watch);
    loop {
        let checked_at = clock.now() + MODE_CHECK_INTERVAL;
        if let Some(outcome) = with_deadline(clock, checked_at, watch.as_mut()).await {
            return Some(outcome);
        }
        let end = started_at + watch_timeout(collection, mode.get()) + WATCH_GRACE;
        if clock.now() >= end {
            return None;
        }
    }
}

/// Whether this node gets along without a collection at present.
fn is_paused(collection: StoreCollection, is_listed: bool, mode: WatchMode) -> bool {
    match collection {
        StoreCollection::RoutingConfig => false,
        StoreCollection::Endpoints => mode.receives_targets || !mode.lists_endpoints,
        StoreCollection::Shared => is_listed && mode.receives_targets,
    }
}

/// Time that one watch waits for changes.
fn watch_timeout(collection: StoreCollection, mode: WatchMode) -> Duration {
    match collection {
        StoreCollection::RoutingConfig if mode.lacks_config => WATCH_TIMEOUT,
        StoreCollection::RoutingConfig if mode.receives_targets => CONFIG_WATCH_TIMEOUT,
        _ if !mode.has_peers => WATCH_TIMEOUT,
        StoreCollection::Endpoints | StoreCollection::RoutingConfig => BOUNDED_WATCH_TIMEOUT,
        StoreCollection::Shared => PEERED_WATCH_TIMEOUT,
    }
}

/// Delay after changes before the next watch.
fn batch_delay(collection: StoreCollection, mode: WatchMode) -> Duration {
    match collection {
        StoreCollection::Endpoints if mode.is_owner => OWNER_BATCH_DELAY,
        // At the start each node writes its entry; without a delay each would cost a call.
        StoreCollection::Shared if !mode.has_peers => ENDPOINTS_BATCH_DELAY,
        _ if !mode.has_peers => UNPEERED_BATCH_DELAY,
        StoreCollection::Endpoints => ENDPOINTS_BATCH_DELAY,
        StoreCollection::Shared => PEERED_BATCH_DELAY,
        StoreCollection::RoutingConfig => UNPEERED_BATCH_DELAY,
    }
}
