//! Follows the feeds of the platform's store, one task each.

use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc::UnboundedSender;
use net::sleep_until;

use super::ports::{Feed, FollowOutcome, ListOutcome, PlatformStore};
use crate::{EdgeEvent, FeedEvent};

/// Wait of one call. A connection that has gone silent shows when it is over,
/// and changes must be in force within two seconds.
const WAIT_SPAN: Duration = Duration::from_millis(1_000);
/// Pause after a call without an answer.
const FAULT_PAUSE: Duration = Duration::from_millis(150);
/// Longest such pause; it doubles with each failure.
const FAULT_PAUSE_LIMIT: Duration = Duration::from_millis(600);
/// Pause after changes, so that several come in one answer.
const GATHER_PAUSE: Duration = Duration::from_millis(40);

/// Follows one feed until the loop has ended.
pub(super) async fn follow_feed(
    feed: Feed,
    store: Rc<dyn PlatformStore>,
    clock: Rc<dyn ClockSource>,
    events: UnboundedSender<EdgeEvent>,
) {
    let mut revision: Option<ObjectVersion> = None;
    let mut pause = FAULT_PAUSE;
    loop {
        let (news, next) = match revision {
            None => match store.list(feed).await {
                ListOutcome::Listed(items, at) => (FeedEvent::Listed(items, at), Some(at)),
                ListOutcome::Unavailable => (FeedEvent::Lost, None),
            },
            Some(since) => match store.follow(feed, since, WAIT_SPAN).await {
                FollowOutcome::Changed(changes, at) => {
                    (FeedEvent::Changed(changes, at), Some(at.max(since)))
                }
                FollowOutcome::Forgotten => {
                    log::info!(feed = feed.word(), since = since.0; "the store has forgotten the changes; listing again");
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
                sleep_until(clock.as_ref(), clock.now() + GATHER_PAUSE).await;
            }
        }
    }
}
