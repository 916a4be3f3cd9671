//! Follows the feeds of the platform's store, one task each.

use std::cell::Cell;
use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::UnboundedSender;
use net::sleep_until;

use super::ports::{Feed, FollowOutcome, ListOutcome, PlatformStore};
use crate::{EdgeEvent, FeedEvent, FeedPace};

/// Wait of one call where nobody else would tell of a change. A connection
/// that has gone silent shows when it is over.
const WAIT_SPAN: Duration = Duration::from_millis(1_000);
/// Wait for changes of the endpoints, which every node must see for itself
/// within three seconds of a fault.
const ENDPOINTS_WAIT_SPAN: Duration = Duration::from_millis(2_200);
/// Wait for changes that other nodes would tell of.
const TOLD_WAIT_SPAN: Duration = Duration::from_millis(8_000);
/// Pause after a call without an answer.
const FAULT_PAUSE: Duration = Duration::from_millis(150);
/// Longest such pause; it doubles with each failure.
const FAULT_PAUSE_LIMIT: Duration = Duration::from_millis(600);
/// Pause after changes of the endpoints at their owner, so that several come in one answer.
const OWNER_PAUSE: Duration = Duration::from_millis(30);
/// The same at other nodes, which must stop to use an endpoint within two seconds.
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(350);
/// The same for what the owner tells the other nodes anyway.
const TOLD_PAUSE: Duration = Duration::from_millis(1_500);
/// Pause between two looks whether this node must follow the endpoints itself again.
const TOLD_LOOK_PERIOD: Duration = Duration::from_millis(200);
/// Wait for configurations at a node that hears of them from others.
const INTENT_WAIT_SPAN: Duration = Duration::from_millis(20_000);
/// The same where nobody tells.
const ALONE_PAUSE: Duration = Duration::from_millis(40);

/// Follows one feed until the loop has ended.
pub(super) async fn follow_feed(
    feed: Feed,
    store: Rc<dyn PlatformStore>,
    clock: Rc<dyn ClockSource>,
    events: UnboundedSender<EdgeEvent>,
    pace: Rc<Cell<FeedPace>>,
) {
    let mut revision: Option<ObjectVersion> = None;
    let mut pause = FAULT_PAUSE;
    loop {
        if revision.is_some() && feed != Feed::RoutingConfig && pace.get().is_told {
            sleep_until(clock.as_ref(), clock.now() + TOLD_LOOK_PERIOD).await;
            continue;
        }
        let (news, next) = match revision {
            None => match store.list(feed).await {
                ListOutcome::Listed(items, at) => (FeedEvent::Listed(items, at), Some(at)),
                ListOutcome::Unavailable => (FeedEvent::Lost, None),
            },
            Some(since) => match store.follow(feed, since, wait_span(feed, pace.get())).await {
                FollowOutcome::Changed(changes, at) => {
                    (FeedEvent::Changed(changes, at), Some(at.max(since)))
                }
                FollowOutcome::Forgotten => {
                    log::info!(feed = feed.as_str(), since = since.0; "the store has forgotten the changes; listing again");
                    revision = None;
                    continue;
                }
                FollowOutcome::Unavailable => (FeedEvent::Lost, Some(since)),
            },
        };
        revision = next;
        let is_lost = matches!(news, FeedEvent::Lost);
        let has_changes = matches!(&news, FeedEvent::Changed(changes, _) if !changes.is_empty());
        if events.unbounded_send(EdgeEvent::Fed(feed, news)).is_err() {
            return;
        }
        if is_lost {
            sleep_until(clock.as_ref(), clock.now() + pause).await;
            pause = (pause * 2).min(FAULT_PAUSE_LIMIT);
        } else {
            pause = FAULT_PAUSE;
            if has_changes {
                sleep_until(clock.as_ref(), clock.now() + gather_pause(feed, pace.get())).await;
            }
        }
    }
}

/// How long one call waits for changes.
fn wait_span(feed: Feed, pace: FeedPace) -> Duration {
    match feed {
        Feed::RoutingConfig if pace.is_told => INTENT_WAIT_SPAN,
        _ if !pace.has_peers => WAIT_SPAN,
        Feed::Endpoints => ENDPOINTS_WAIT_SPAN,
        Feed::RoutingConfig | Feed::Shared => TOLD_WAIT_SPAN,
    }
}

/// How long changes are gathered before the next call.
fn gather_pause(feed: Feed, pace: FeedPace) -> Duration {
    match feed {
        Feed::Endpoints if pace.is_owner => OWNER_PAUSE,
        // At the start each node's entry is a change; a quick look at each would cost a call.
        Feed::Shared if !pace.has_peers => ENDPOINTS_PAUSE,
        _ if !pace.has_peers => ALONE_PAUSE,
        Feed::Endpoints => ENDPOINTS_PAUSE,
        Feed::Shared => TOLD_PAUSE,
        Feed::RoutingConfig => ALONE_PAUSE,
    }
}
