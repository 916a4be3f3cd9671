//! A store that is silent, busy or hears nothing for a while, and a change and a leaving server
//! just after the nodes are in touch again.
//!
//! Guards against failures in which nodes kept an older configuration or a leaving server because
//! calls from the time of the silence were still under way: their own, or those of the hubs that
//! they rely on.

use base::prelude::*;
use edge::border::ports::{CollectionChange, CollectionItem, StoreCollection};
use edge::{
    CollectionEvent, EdgeEvent, EdgeQuestion, EdgeReply, FeedResult, FeedSchedule, FeedStep,
    StoreContact, WatchMode,
};
use replicas::Presence;

use crate::network::{NodeNetwork, TICK_MS};
use crate::support::{arrival, at, config_item, endpoint, status};

/// Time after which nodes are in touch again.
const CONTACT_MS: u64 = 3_000;
/// Time within which a change must be in force everywhere.
const APPLY_MS: u64 = 2_000;
/// Longest time of a call beyond the wait of a watch, and of a call.
const CALL_GRACE_MS: u64 = 400;
const CALL_TIMEOUT_MS: u64 = 1_000;

/// How the store treats calls for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// Calls of that time, and those under way, get no response.
    Silent,
    /// Calls fail at once.
    Busy,
}

/// How servers leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// `p-2` announces it.
    Announced,
    /// The entries of `p-2` and `p-3` are removed, as if they had expired in an outage.
    Removed,
}

/// Call under way, and when it gets its result.
struct Call {
    step: FeedStep,
    started_at: u64,
    /// When it fails; calls that began in a silence can't do otherwise.
    fails_at: u64,
    is_lost: bool,
}

/// One collection at one node.
struct NodeFeed {
    schedule: FeedSchedule,
    call: Option<Call>,
}

/// Store, and the feeds of all nodes.
struct Platform {
    network: NodeNetwork,
    feeds: Vec<Vec<NodeFeed>>,
    contacts: Vec<StoreContact>,
    /// Nodes that the trouble concerns.
    is_troubled: Box<dyn Fn(usize) -> bool>,
    trouble: Option<(Trouble, u64, u64)>,
    /// Revision of the configuration and of the endpoints.
    revisions: [u64; 2],
    config_version: u64,
    is_leaving: bool,
    departure: Departure,
}

impl Platform {
    fn new(count: usize) -> Self {
        let feeds = (0..count).map(|_| {
            let feeds = StoreCollection::ALL.map(|collection| {
                let mut schedule = FeedSchedule::new(collection);
                let (mode, now) = (WatchMode::default(), at(0));
                schedule.record(FeedResult::Read(ObjectVersion(1), false), mode, now);
                let call = None;
                NodeFeed { schedule, call }
            });
            feeds.into()
        });
        let mut platform = Self {
            network: NodeNetwork::new(count),
            feeds: feeds.collect(),
            contacts: vec![StoreContact::default(); count],
            is_troubled: Box::new(|_| true),
            trouble: None,
            revisions: [1, 2],
            config_version: 1,
            is_leaving: false,
            departure: Departure::Announced,
        };
        for index in 0..count {
            platform.deliver(index, StoreCollection::Endpoints, 2);
        }
        platform
    }

    fn trouble_at(&self, index: usize) -> Option<Trouble> {
        let now = self.network.now;
        self.trouble
            .filter(|(_, from, until)| (*from..*until).contains(&now) && (self.is_troubled)(index))
            .map(|(trouble, ..)| trouble)
    }

    fn change(&mut self) {
        let last = self.revisions[0].max(self.revisions[1]);
        self.revisions = [last + 1, last + 2];
        self.config_version += 1;
        self.is_leaving = true;
    }

    fn revision_of(&self, collection: StoreCollection) -> u64 {
        match collection {
            StoreCollection::RoutingConfig => self.revisions[0],
            StoreCollection::Endpoints => self.revisions[1],
            StoreCollection::Shared => 1,
        }
    }

    /// Hands a node the changes of a collection, or none.
    fn deliver(&mut self, index: usize, collection: StoreCollection, since: u64) -> FeedResult {
        let last = self.revisions[0].max(self.revisions[1]);
        let is_news = self.revision_of(collection) > since || self.network.now == 0;
        let mut changes = Vec::new();
        if is_news && collection == StoreCollection::RoutingConfig {
            changes.push(CollectionChange::Put(config_item(
                self.config_version,
                "/x/",
            )));
        }
        if is_news && collection == StoreCollection::Endpoints {
            for id in ["p-2", "p-3"] {
                let mut server = endpoint(id);
                if self.is_leaving && id == "p-2" {
                    server.presence = Presence::Leaving;
                }
                changes.push(match (self.is_leaving, self.departure) {
                    (true, Departure::Removed) => CollectionChange::Removed(id.into()),
                    _ => CollectionChange::Put(CollectionItem::Endpoint(server)),
                });
            }
        }
        let has_changes = !changes.is_empty();
        let event = CollectionEvent::Changed(changes, ObjectVersion(last));
        let event = EdgeEvent::Collection(collection, event);
        self.network.handle(index, event);
        FeedResult::Read(ObjectVersion(last), has_changes)
    }

    fn advance_feed(&mut self, index: usize, position: usize) {
        let now = self.network.now;
        let mode = self.network.watch_modes[index];
        let trouble = self.trouble_at(index);
        let contact = self.contacts[index];
        let collection = StoreCollection::ALL[position];
        let feed = &mut self.feeds[index][position];
        let Some(call) = &mut feed.call else {
            let step = feed.schedule.next_step(mode, at(now));
            let wait = match step {
                FeedStep::Pause(_) => return,
                FeedStep::List => 0,
                FeedStep::Watch(_, wait) => wait.as_millis() as u64,
            };
            feed.call = Some(Call {
                step,
                started_at: now,
                fails_at: now + (wait + CALL_GRACE_MS).max(CALL_TIMEOUT_MS),
                is_lost: trouble == Some(Trouble::Silent),
            });
            return;
        };
        call.is_lost |= trouble == Some(Trouble::Silent);
        let (since, wait) = match call.step {
            FeedStep::Watch(since, wait) => (since.0, wait.as_millis() as u64),
            _ => (0, 0),
        };
        let is_over = now >= call.started_at + wait;
        let fails = now >= call.fails_at || trouble == Some(Trouble::Busy);
        let is_lost = call.is_lost;
        if fails {
            self.network.handle(
                index,
                EdgeEvent::Collection(collection, CollectionEvent::Unavailable),
            );
            self.finish(index, position, FeedResult::Unavailable);
        } else if !is_lost && (is_over || self.revision_of(collection) > since) {
            let result = self.deliver(index, collection, since);
            self.finish(index, position, result);
        } else if now.is_multiple_of(200) {
            let feed = &mut self.feeds[index][position];
            if feed.schedule.is_outdated(mode, contact, at(now)) {
                feed.call = None;
            }
        }
    }

    fn finish(&mut self, index: usize, position: usize, result: FeedResult) {
        let now = at(self.network.now);
        let mode = self.network.watch_modes[index];
        self.contacts[index].record(result != FeedResult::Unavailable, now);
        let feed = &mut self.feeds[index][position];
        feed.call = None;
        feed.schedule.record(result, mode, now);
    }

    fn run(&mut self, until: u64) {
        while self.network.now < until {
            self.network.run(self.network.now + TICK_MS);
            for index in 0..self.feeds.len() {
                for position in 0..StoreCollection::ALL.len() {
                    self.advance_feed(index, position);
                }
            }
        }
    }

    /// Nodes that have another configuration than the newest.
    fn nodes_with_older_config(&mut self) -> Vec<usize> {
        let now = at(self.network.now);
        let version = Some(self.config_version);
        let nodes = 0..self.feeds.len();
        nodes
            .filter(|&index| status(&mut self.network.nodes[index], now).config_version != version)
            .collect()
    }

    /// Nodes that send requests to the server that leaves.
    fn nodes_with_leaving_server(&mut self) -> Vec<usize> {
        let nodes = 0..self.feeds.len();
        nodes
            .filter(|&index| self.uses_leaving_server(index))
            .collect()
    }

    fn uses_leaving_server(&mut self, index: usize) -> bool {
        let now = at(self.network.now);
        let mut uses = false;
        for call in 1..=8 {
            let question = EdgeQuestion::Arrive(Box::new(arrival(call, "/x/1", now)));
            if let EdgeReply::Arrival(outcome) = self.network.ask(index, question) {
                uses |= format!("{outcome:?}").contains("p-2");
            }
        }
        for call in 1..=8 {
            self.network
                .handle(index, EdgeEvent::Finished(CallId(call)));
        }
        uses
    }
}

fn check(
    count: usize,
    trouble: Trouble,
    from: u64,
    length: u64,
    is_troubled: impl Fn(usize) -> bool + 'static,
) {
    let mut platform = Platform::new(count);
    let until = from + length;
    platform.trouble = Some((trouble, from, until));
    platform.is_troubled = Box::new(is_troubled);
    platform.run(until + CONTACT_MS + 300);
    assert_eq!(platform.nodes_with_leaving_server().len(), count);
    platform.change();
    platform.run(until + CONTACT_MS + 300 + APPLY_MS);
    let text = format!("{count} nodes, {trouble:?} from {from} for {length}");
    let empty: [usize; 0] = [];
    assert_eq!(platform.nodes_with_older_config(), empty, "CONFIG, {text}");
    assert_eq!(platform.nodes_with_leaving_server(), empty, "DRAIN, {text}");
}

#[test]
fn servers_removed_together_after_the_store_was_silent_get_no_request() {
    for (count, from) in [
        (3, 5_000),
        (3, 12_500),
        (6, 5_000),
        (6, 12_500),
        (12, 9_000),
    ] {
        for length in [1_700, 4_000, 9_000] {
            let mut platform = Platform::new(count);
            let changed_at = from + length + CONTACT_MS + 300;
            platform.trouble = Some((Trouble::Silent, from, from + length));
            platform.departure = Departure::Removed;
            platform.run(changed_at);
            platform.change();
            platform.run(changed_at + APPLY_MS);
            let empty: [usize; 0] = [];
            let using = platform.nodes_with_leaving_server();
            assert_eq!(
                using, empty,
                "{count} nodes, silent from {from} for {length}"
            );
        }
    }
}

fn check_lengths(count: usize, trouble: Trouble) {
    for from in [5_000, 12_500] {
        for length in [400, 1_700, 4_000, 9_000] {
            check(count, trouble, from, length, |_| true);
        }
    }
}

#[test]
fn a_silent_store_delays_no_later_change_in_small_deployments() {
    for count in [3, 6] {
        check_lengths(count, Trouble::Silent);
        check_lengths(count, Trouble::Busy);
    }
}

#[test]
fn a_silent_store_delays_no_later_change_in_deployments_with_hubs() {
    check_lengths(12, Trouble::Silent);
    for count in [24, 70, 195] {
        check(count, Trouble::Silent, 9_000, 9_000, |_| true);
    }
}

#[test]
fn a_busy_store_delays_no_later_change_in_deployments_with_hubs() {
    check_lengths(12, Trouble::Busy);
    check(70, Trouble::Busy, 9_000, 4_000, |_| true);
}

/// Whether a change and a leaving server are known everywhere else while the first nodes, among
/// them all hubs, get no response from the store.
fn check_hubs(count: usize, trouble: Trouble) {
    let mut platform = Platform::new(count);
    let hubs = 4;
    platform.trouble = Some((trouble, 6_000, 60_000));
    platform.is_troubled = Box::new(move |index| index < hubs);
    for changed_at in [6_000 + CONTACT_MS + 300, 20_000] {
        platform.run(changed_at);
        platform.change();
        platform.run(changed_at + APPLY_MS);
        let others = |nodes: Vec<usize>| nodes.into_iter().filter(|index| *index >= hubs).count();
        let text = format!("{count} nodes, hubs {trouble:?}, change at {changed_at}");
        assert_eq!(
            others(platform.nodes_with_older_config()),
            0,
            "CONFIG, {text}"
        );
        assert_eq!(
            others(platform.nodes_with_leaving_server()),
            0,
            "DRAIN, {text}"
        );
    }
}

#[test]
fn a_server_that_leaves_while_the_store_turns_all_hubs_away_gets_no_request_from_other_nodes() {
    check_hubs(12, Trouble::Busy);
    check_hubs(24, Trouble::Silent);
    check_hubs(70, Trouble::Busy);
}

/// Collections and modes of watches whose calls a silence can hold up.
fn feeds() -> Vec<(StoreCollection, WatchMode)> {
    let peered = WatchMode {
        has_peers: true,
        lists_endpoints: true,
        ..WatchMode::default()
    };
    let supplied = WatchMode {
        receives_targets: true,
        ..peered
    };
    let mut feeds: Vec<_> = StoreCollection::ALL.map(|feed| (feed, peered)).into();
    feeds.push((StoreCollection::RoutingConfig, supplied));
    feeds
}

#[test]
fn the_store_is_heard_again_before_a_node_counts_as_in_touch_whenever_it_fell_silent() {
    for (collection, mode) in feeds() {
        // The first call without a response may have begun at any time before the silence ends.
        for offset in (0..3_000).step_by(50) {
            let (mut now, returns_at) = (offset, 12_000);
            let mut schedule = FeedSchedule::new(collection);
            schedule.record(FeedResult::Read(ObjectVersion(1), false), mode, at(0));
            schedule.next_step(mode, at(now));
            schedule.record(FeedResult::Unavailable, mode, at(now + CALL_TIMEOUT_MS));
            now += CALL_TIMEOUT_MS;
            let heard_at = loop {
                match schedule.next_step(mode, at(now)) {
                    FeedStep::Pause(until) => now = until.0 / 1_000,
                    FeedStep::List => panic!("the revision is known"),
                    FeedStep::Watch(_, wait) => {
                        let wait = wait.as_millis() as u64;
                        if now >= returns_at {
                            break now + wait;
                        }
                        now += (wait + CALL_GRACE_MS).max(CALL_TIMEOUT_MS);
                        schedule.record(FeedResult::Unavailable, mode, at(now));
                    }
                }
            };
            assert!(
                heard_at < returns_at + CONTACT_MS,
                "{collection:?}, offset {offset}: heard at {heard_at}"
            );
        }
    }
}

#[test]
fn a_watch_from_before_a_failure_is_replaced_once_the_store_responds_to_another() {
    for (collection, mode) in feeds() {
        let mut schedule = FeedSchedule::new(collection);
        schedule.record(FeedResult::Read(ObjectVersion(1), false), mode, at(0));
        schedule.next_step(mode, at(100));
        let mut contact = StoreContact::default();
        contact.record(true, at(50));
        assert!(!schedule.is_outdated(mode, contact, at(200)));
        contact.record(false, at(300));
        assert!(!schedule.is_outdated(mode, contact, at(310)));
        contact.record(true, at(400));
        assert!(schedule.is_outdated(mode, contact, at(410)));
        // A watch that began since is sound.
        schedule.next_step(mode, at(420));
        assert!(!schedule.is_outdated(mode, contact, at(430)));
    }
}

#[test]
fn a_short_watch_lasts_as_long_as_a_large_configuration_takes_to_read() {
    for (collection, mode) in feeds() {
        let mut schedule = FeedSchedule::new(collection);
        schedule.record(FeedResult::Read(ObjectVersion(1), false), mode, at(0));
        schedule.next_step(mode, at(0));
        schedule.record(FeedResult::Unavailable, mode, at(100));
        assert!(matches!(
            schedule.next_step(mode, at(200)),
            FeedStep::Watch(..)
        ));
        let contact = StoreContact::default();
        let ends_at = at(200 + CALL_TIMEOUT_MS);
        assert!(
            !schedule.is_outdated(mode, contact, ends_at),
            "{collection:?}"
        );
    }
}
