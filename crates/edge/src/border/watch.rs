//! Watches of the store's collections, one task for each.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::UnboundedSender;
use net::{sleep_until, with_deadline};

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
}

/// Watches one collection until the event loop has ended.
pub(super) async fn watch_collection(collection: StoreCollection, context: WatchContext) {
    let WatchContext {
        store,
        clock,
        events,
        mode,
        contact,
    } = &context;
    let mut schedule = FeedSchedule::new(collection);
    loop {
        let known = schedule.revision();
        if known.is_some_and(|revision| store.is_superseded(revision)) {
            log::info!(feed = collection.as_str(), since:% = known.unwrap_or_default(); "store was restored from a copy; listing again");
            schedule.forget_revision();
        }
        let event = match schedule.next_step(mode.get(), clock.now()) {
            FeedStep::Pause(until) => {
                sleep_until(clock.as_ref(), until).await;
                continue;
            }
            FeedStep::List => match store.list(collection).await {
                ListOutcome::Listed(items, at) => CollectionEvent::Listed(items, at),
                ListOutcome::Unavailable => CollectionEvent::Unavailable,
            },
            FeedStep::Watch(since, wait) => {
                let watch = store.watch(collection, since, wait);
                match watch_until_outdated(watch, &schedule, &context).await {
                    None => {
                        log::info!(feed = collection.as_str(), since:% = since; "watch replaced, as changes may be missing");
                        continue;
                    }
                    Some(WatchOutcome::Changed(changes, at)) => {
                        CollectionEvent::Changed(changes, at)
                    }
                    Some(WatchOutcome::Compacted) => {
                        log::info!(feed = collection.as_str(), since:% = since; "watch revision compacted; listing again");
                        record_contact(contact, true, clock.now());
                        schedule.record(FeedResult::Compacted, mode.get(), clock.now());
                        continue;
                    }
                    Some(WatchOutcome::Unavailable) => CollectionEvent::Unavailable,
                }
            }
        };
        let result = match &event {
            CollectionEvent::Listed(_, at) => FeedResult::Read(*at, false),
            CollectionEvent::Changed(changes, at) => FeedResult::Read(*at, !changes.is_empty()),
            CollectionEvent::Unavailable => FeedResult::Unavailable,
        };
        let now = clock.now();
        record_contact(contact, result != FeedResult::Unavailable, now);
        let event = EdgeEvent::Collection(collection, event);
        if events.unbounded_send(event).is_err() {
            return;
        }
        schedule.record(result, mode.get(), now);
    }
}

fn record_contact(contact: &Cell<StoreContact>, is_answered: bool, now: ClockTime) {
    let mut latest = contact.get();
    latest.record(is_answered, now);
    contact.set(latest);
}

/// Waits for a watch; `None` once it must be replaced.
async fn watch_until_outdated(
    watch: impl Future<Output = WatchOutcome>,
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
        if schedule.is_outdated(context.mode.get(), context.contact.get(), clock.now()) {
            return None;
        }
    }
}
