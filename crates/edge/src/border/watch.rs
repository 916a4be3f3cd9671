//! Watches of the store's collections, one task for each.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::UnboundedSender;
use net::web::ReadProgress;
use net::{MetricSink, sleep_until, with_deadline};

use super::ports::{ListOutcome, PlatformStore, StoreCollection, WatchOutcome};
use crate::{
    CollectionEvent, EdgeEvent, FeedResult, FeedSchedule, FeedStep, StoreContact, WatchMode,
};

/// What the tasks share.
#[derive(Clone)]
pub(super) struct WatchContext {
    pub store: Rc<dyn PlatformStore>,
    pub clock: Rc<dyn ClockSource>,
    pub events: UnboundedSender<EdgeEvent>,
    pub mode: Rc<Cell<WatchMode>>,
    pub contact: Rc<Cell<StoreContact>>,
    pub metrics: Rc<dyn MetricSink>,
}

/// Watches one collection until the event loop has ended.
pub(super) async fn watch_collection(collection: StoreCollection, context: WatchContext) {
    let WatchContext {
        store,
        clock,
        events,
        mode,
        contact,
        metrics,
    } = &context;
    let mut schedule = FeedSchedule::new(collection);
    loop {
        let known = schedule.revision();
        if known.is_some_and(|revision| store.is_superseded(revision)) {
            log::info!(feed = collection.as_str(), since:% = known.unwrap_or_default(); "store was restored from a copy; listing again");
            schedule.forget_revision();
        }
        let started_at = clock.now();
        let mut is_incomplete = false;
        let event = match schedule.next_step(mode.get(), started_at) {
            FeedStep::Pause(until) => {
                sleep_until(clock.as_ref(), until).await;
                continue;
            }
            FeedStep::List => match store.list(collection).await {
                ListOutcome::Listed(items, at) => Some(CollectionEvent::Listed(items, at)),
                ListOutcome::Unavailable => Some(CollectionEvent::Unavailable),
            },
            FeedStep::Watch(since, wait) => {
                let progress = ReadProgress::default();
                let watch = store.watch(collection, since, wait, progress.clone());
                match watch_until_outdated(watch, &progress, &schedule, &context).await {
                    None => {
                        let lasted_ms = clock.now().since(started_at).as_millis() as u64;
                        log::info!(feed = collection.as_str(), since:% = since, lasted_ms; "watch replaced, as changes may be missing");
                        count_call(metrics.as_ref(), collection, "replaced");
                        continue;
                    }
                    Some(WatchOutcome::Changed(changes, at)) => {
                        Some(CollectionEvent::Changed(changes, at))
                    }
                    Some(WatchOutcome::Compacted) => {
                        log::info!(feed = collection.as_str(), since:% = since; "watch revision compacted; listing again");
                        None
                    }
                    Some(WatchOutcome::Incomplete) => {
                        is_incomplete = true;
                        Some(CollectionEvent::Unavailable)
                    }
                    Some(WatchOutcome::Unavailable) => Some(CollectionEvent::Unavailable),
                }
            }
        };
        let result = match &event {
            Some(CollectionEvent::Unavailable) if is_incomplete => FeedResult::Incomplete,
            None => FeedResult::Compacted,
            Some(CollectionEvent::Listed(_, at)) => FeedResult::Read(*at, false),
            Some(CollectionEvent::Changed(changes, at)) => {
                FeedResult::Read(*at, !changes.is_empty())
            }
            Some(CollectionEvent::Unavailable) => FeedResult::Unavailable,
        };
        let now = clock.now();
        let is_answered = !matches!(event, Some(CollectionEvent::Unavailable));
        record_contact(contact, is_answered, now);
        let label = if is_answered {
            "answered"
        } else {
            "unanswered"
        };
        count_call(metrics.as_ref(), collection, label);
        if !is_answered {
            let lasted_ms = now.since(started_at).as_millis() as u64;
            log::info!(feed = collection.as_str(), since:? = known, lasted_ms, is_incomplete; "store did not respond");
        }
        let event = event.map(|event| EdgeEvent::Collection(collection, event));
        if event.is_some_and(|event| events.unbounded_send(event).is_err()) {
            return;
        }
        schedule.record(result, mode.get(), now);
    }
}

/// Counts a call by its result.
fn count_call(metrics: &dyn MetricSink, collection: StoreCollection, result: &str) {
    let tags = [("feed", collection.as_str()), ("result", result)];
    metrics.count("store_calls", &tags, 1);
}

fn record_contact(contact: &Cell<StoreContact>, is_answered: bool, now: ClockTime) {
    let mut latest = contact.get();
    latest.record(is_answered, now);
    contact.set(latest);
}

/// Waits for a watch; `None` once it must be replaced.
async fn watch_until_outdated(
    watch: impl Future<Output = WatchOutcome>,
    progress: &ReadProgress,
    schedule: &FeedSchedule,
    context: &WatchContext,
) -> Option<WatchOutcome> {
    let clock = context.clock.as_ref();
    let mut watch = pin!(watch);
    loop {
        let check_due = schedule.check_due(clock.now());
        if let Some(outcome) = with_deadline(clock, check_due, watch.as_mut()).await {
            return Some(outcome);
        }
        let now = clock.now();
        let is_outdated = schedule.is_outdated(context.mode.get(), context.contact.get(), now);
        if is_outdated && !FeedSchedule::is_arriving(progress.last(), now) {
            return None;
        }
    }
}
