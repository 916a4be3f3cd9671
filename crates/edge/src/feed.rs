//! Schedule of the calls by which a node follows a collection of the store.
//!
//! A collection is listed once and then watched. A watch may wait long, because other nodes send
//! what it misses, but a call that is sent while the store is silent is never answered, and its
//! connection may hang. Two rules keep such calls from standing in for the store once it is back:
//! after a call without a response the next ones wait briefly, and a response to any collection
//! replaces the watches that began before the last failure.
//!
//! A watch brings each change since the revision, so one whose changes don't arrive in time would
//! bring more of them the next time. A list follows it, which brings each object once.

use base::prelude::*;

use crate::WatchMode;
use crate::border::ports::StoreCollection;

/// Wait of a watch without peers that would send changes, of one that has missed a change, and of one
/// whose response shows that the store reaches this node while no hub can own the groups. It bounds
/// the time until a hung connection is noticed.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Wait of a watch of the endpoints, the configuration or the evacuations. A connection may hang
/// without a reset, and a watch may hear nothing while the store drops its history. Both can happen
/// to all nodes at once, so that no peer could help, and every node must know of changes within
/// three seconds of the fault.
const BOUNDED_WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Wait of a watch of shared objects, of which peers send the record at once.
const PEERED_WATCH_TIMEOUT: Duration = Duration::from_millis(8_000);
/// Wait of a watch after a call without a response, to notice the store's return, and of one that
/// a new owner waits for.
const RECOVERY_WATCH_TIMEOUT: Duration = Duration::from_millis(100);
/// Wait of a watch of the configuration at a node that is sent the targets, as the hubs
/// also send it newer configurations.
const CONFIG_WATCH_TIMEOUT: Duration = Duration::from_millis(20_000);
/// Longest pause within a response that is still arriving.
pub const READ_PAUSE: Duration = Duration::from_millis(600);
/// Time beyond its wait after which a watch counts as hung; calls end by themselves before.
const WATCH_GRACE: Duration = Duration::from_millis(500);
/// Shortest time after which a watch counts as hung, as a large configuration takes time to read.
const MIN_WATCH_DURATION: Duration = Duration::from_millis(1_200);
/// Interval between the beginnings of a failed call and the next one; it doubles with each failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Doublings of that interval.
const MAX_RETRY_DOUBLINGS: u32 = 2;
/// Delay after changes of the endpoints at the owner, so that the next watch returns
/// several changes at once.
const OWNER_BATCH_DELAY: Duration = Duration::from_millis(30);
/// The same at other nodes, which must stop using a removed endpoint within two seconds.
const ENDPOINTS_BATCH_DELAY: Duration = Duration::from_millis(350);
/// The same for changes that the owner sends to the other nodes anyway.
const PEERED_BATCH_DELAY: Duration = Duration::from_millis(1_500);
/// Delay after changes of a configuration or the evacuations, or of the endpoints without peers
/// that would send changes.
const UNPEERED_BATCH_DELAY: Duration = Duration::from_millis(40);
/// Interval at which a node that is sent the targets checks whether it must watch the
/// store itself again.
const MODE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The same for a collection that this node has no use for at present.
const UNUSED_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The same before the first list of a collection, for which requests may be waiting.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Last response and last failure of the store, over all collections.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    answered_at: Option<ClockTime>,
    failed_at: Option<ClockTime>,
}

impl StoreContact {
    /// Records that a call got a response, or none.
    pub fn record(&mut self, is_answered: bool, now: ClockTime) {
        let instant = match is_answered {
            true => &mut self.answered_at,
            false => &mut self.failed_at,
        };
        *instant = Some(now);
    }

    /// Whether a call that began at an instant may be lost: another one failed since, and the
    /// store has responded after that.
    fn is_outdated(self, started_at: ClockTime) -> bool {
        self.failed_at
            .is_some_and(|failed_at| failed_at >= started_at && self.answered_at > Some(failed_at))
    }
}

/// Next step of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedStep {
    /// Check again at this instant.
    Pause(ClockTime),
    /// List the collection.
    List,
    /// Watch it from a revision, for a time.
    Watch(ObjectVersion, Duration),
}

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedResult {
    /// The collection was read up to a revision; whether anything has changed.
    Read(ObjectVersion, bool),
    /// The store doesn't know the changes after the revision.
    Compacted,
    /// The changes did not arrive whole in time.
    Incomplete,
    /// The store did not respond.
    Unavailable,
}

/// Schedule of the calls for one collection.
#[derive(Clone, Debug)]
pub struct FeedSchedule {
    collection: StoreCollection,
    /// Revision up to which the collection was read; `None` if it must be listed.
    revision: Option<ObjectVersion>,
    /// Calls without a response since the last one with a response.
    failures: u32,
    /// Whether the call under way, or the last one, began for a new owner.
    is_for_owner: bool,
    /// Instant at which the call under way, or the last one, began.
    started_at: ClockTime,
    /// Instant before which no call begins.
    due: ClockTime,
}

impl FeedSchedule {
    /// Schedule of a collection that was not listed yet.
    pub fn new(collection: StoreCollection) -> Self {
        Self {
            collection,
            revision: None,
            failures: 0,
            is_for_owner: false,
            started_at: ClockTime::default(),
            due: ClockTime::default(),
        }
    }

    /// Revision up to which the collection was read.
    pub fn revision(&self) -> Option<ObjectVersion> {
        self.revision
    }

    /// Makes the next call list the collection.
    pub fn forget_revision(&mut self) {
        self.revision = None;
    }

    /// Next step; a call begins at once.
    pub fn next_step(&mut self, mode: WatchMode, now: ClockTime) -> FeedStep {
        if now < self.due {
            return FeedStep::Pause(self.due);
        }
        if self.is_paused(mode) {
            let interval = match self.revision {
                _ if self.collection == StoreCollection::Evacuations => UNUSED_CHECK_INTERVAL,
                Some(_) => MODE_CHECK_INTERVAL,
                None => START_CHECK_INTERVAL,
            };
            return FeedStep::Pause(now + interval);
        }
        self.started_at = now;
        self.is_for_owner = self.is_awaited(mode);
        match self.revision {
            Some(since) => FeedStep::Watch(since, self.watch_wait(mode)),
            None => FeedStep::List,
        }
    }

    /// Records the result of the call.
    pub fn record(&mut self, result: FeedResult, mode: WatchMode, now: ClockTime) {
        match result {
            FeedResult::Read(revision, has_changes) => {
                self.failures = 0;
                self.revision = self.revision.max(Some(revision));
                self.due = match has_changes {
                    true => now + self.batch_delay(mode),
                    false => now,
                };
            }
            FeedResult::Compacted => self.revision = None,
            FeedResult::Incomplete | FeedResult::Unavailable => {
                if result == FeedResult::Incomplete {
                    self.revision = None;
                }
                let doublings = self.failures.min(MAX_RETRY_DOUBLINGS);
                self.failures += 1;
                self.due = self.started_at + RETRY_INTERVAL * 2_u32.pow(doublings);
            }
        }
    }

    /// Instant at which the watch under way is checked again.
    pub fn check_due(&self, now: ClockTime) -> ClockTime {
        now + MODE_CHECK_INTERVAL
    }

    /// Whether a response, of which bytes arrived last at an instant, still arrives.
    pub fn is_arriving(last_bytes_at: Option<ClockTime>, now: ClockTime) -> bool {
        last_bytes_at.is_some_and(|at| now.since(at) < READ_PAUSE)
    }

    /// Whether the watch under way must be replaced, unless its response is arriving: it has lasted
    /// longer than it may by now, or may be lost.
    pub fn is_outdated(&self, mode: WatchMode, contact: StoreContact, now: ClockTime) -> bool {
        now >= self.started_at + (self.watch_wait(mode) + WATCH_GRACE).max(MIN_WATCH_DURATION)
            || contact.is_outdated(self.started_at)
            || (self.is_awaited(mode) && !self.is_for_owner)
    }

    /// Whether a new owner waits for the collection.
    fn is_awaited(&self, mode: WatchMode) -> bool {
        mode.awaits_list && self.collection == StoreCollection::Endpoints
    }

    /// Whether this node gets along without the collection at present.
    fn is_paused(&self, mode: WatchMode) -> bool {
        match self.collection {
            StoreCollection::RoutingConfig => false,
            StoreCollection::Endpoints => mode.receives_targets || !mode.lists_endpoints,
            StoreCollection::Shared => self.revision.is_some() && mode.receives_targets,
            StoreCollection::Evacuations => !mode.watches_evacuations,
        }
    }

    /// Time that one watch waits for changes.
    fn watch_wait(&self, mode: WatchMode) -> Duration {
        if self.failures > 0 || self.is_awaited(mode) {
            return RECOVERY_WATCH_TIMEOUT;
        }
        match self.collection {
            StoreCollection::RoutingConfig if mode.lacks_config || mode.lacks_hubs => WATCH_TIMEOUT,
            StoreCollection::RoutingConfig if mode.receives_targets => CONFIG_WATCH_TIMEOUT,
            _ if !mode.has_peers => WATCH_TIMEOUT,
            StoreCollection::Endpoints
            | StoreCollection::RoutingConfig
            | StoreCollection::Evacuations => BOUNDED_WATCH_TIMEOUT,
            StoreCollection::Shared => PEERED_WATCH_TIMEOUT,
        }
    }

    /// Delay after changes before the next watch.
    fn batch_delay(&self, mode: WatchMode) -> Duration {
        match self.collection {
            StoreCollection::Endpoints if mode.is_owner => OWNER_BATCH_DELAY,
            // At the start each node writes its entry; without a delay each would cost a call.
            StoreCollection::Shared if !mode.has_peers => ENDPOINTS_BATCH_DELAY,
            _ if !mode.has_peers => UNPEERED_BATCH_DELAY,
            StoreCollection::Endpoints => ENDPOINTS_BATCH_DELAY,
            StoreCollection::Shared => PEERED_BATCH_DELAY,
            StoreCollection::RoutingConfig | StoreCollection::Evacuations => UNPEERED_BATCH_DELAY,
        }
    }
}
