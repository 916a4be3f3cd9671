//! Changes of a large configuration, faster than a node can catch up with them, on links of
//! limited bandwidth.
//!
//! Guards against failures in which every node sent the configuration to a hub that had an older
//! one. Their copies filled the hub's link, so that none arrived whole, and with it went the hub's
//! own reads of the store and what it sends to other nodes.

use std::collections::BTreeMap;

use base::prelude::*;
use edge::border::ports::{CollectionItem, StoreCollection};
use edge::{CollectionEvent, EdgeEvent};

use crate::bandwidth::{BulkLinks, BulkTransfer};
use crate::network::{NodeNetwork, TICK_MS};
use crate::support::{at, config, status};

/// Size of a configuration with 1,400 routes.
const CONFIG_BYTES: usize = 300_000;
/// Interval between two changes, each sent once the one before is acknowledged.
const CHANGE_INTERVAL_MS: u64 = 1_200;
/// Time after which a node counts as in touch again.
pub const CONTACT_MS: u64 = 5_000;
/// Time of a call to the store that follows a failed one, and until the next one.
const CALL_TIMEOUT_MS: u64 = 1_000;
const RETRY_MS: u64 = 150;
/// Rates of links in bytes a millisecond: 1,000, 200 and 20 Mbit/s.
const STORE_RATE: f64 = 125_000.0;
const HUB_RATE: f64 = 25_000.0;
const SPOKE_RATE: f64 = 2_500.0;

/// Read of the configuration by a node.
#[derive(Clone, Copy)]
struct ConfigRead {
    version: u64,
    started_at: u64,
}

/// Store and nodes that read the configuration from it.
pub struct Platform {
    pub network: NodeNetwork,
    /// Versions and when each was acknowledged.
    acknowledged: Vec<u64>,
    reads: BTreeMap<usize, ConfigRead>,
    /// When each node may read again.
    due: Vec<u64>,
    /// Nodes that the store turns away, and until when.
    turned_away: (Box<dyn Fn(usize) -> bool>, u64, u64),
    /// When each node is in touch again.
    pub in_touch_from: Vec<u64>,
    text: Arc<str>,
}

impl Platform {
    pub fn new(count: usize) -> Self {
        let mut network = NodeNetwork::new(count);
        let mut rates: Vec<_> = (0..count)
            .map(|index| if index < 4 { HUB_RATE } else { SPOKE_RATE })
            .collect();
        rates.push(STORE_RATE);
        network.bulk = Some(BulkLinks::new(rates));
        Self {
            network,
            acknowledged: vec![0, 0],
            reads: BTreeMap::new(),
            due: vec![0; count],
            turned_away: (Box::new(|_| false), 0, 0),
            in_touch_from: vec![0; count],
            text: "r".repeat(CONFIG_BYTES).into(),
        }
    }

    fn newest(&self) -> u64 {
        self.acknowledged.len() as u64 - 1
    }

    fn version_of(&mut self, index: usize) -> u64 {
        let now = at(self.network.now);
        status(&mut self.network.nodes[index], now)
            .config_version
            .unwrap_or(0)
    }

    fn is_turned_away(&self, index: usize) -> bool {
        let (is_concerned, from, until) = &self.turned_away;
        (*from..*until).contains(&self.network.now) && is_concerned(index)
    }

    /// Starts a node anew.
    fn restart(&mut self, index: usize) {
        let now = self.network.now;
        self.network.restart(index);
        self.in_touch_from[index] = now + CONTACT_MS;
        if self.reads.remove(&index).is_some() {
            self.links().others.retain(|transfer| transfer.to != index);
        }
    }

    /// Goes on with a node's reads; a read brings every version since the node's own.
    fn read(&mut self, index: usize) {
        let now = self.network.now;
        let store = self.due.len();
        let is_turned_away = self.is_turned_away(index);
        let Some(read) = self.reads.get(&index).copied() else {
            let version = self.version_of(index);
            if !is_turned_away && now >= self.due[index] && version < self.newest() {
                let left = (CONFIG_BYTES * (self.newest() - version) as usize) as f64;
                let read = ConfigRead {
                    version: self.newest(),
                    started_at: now,
                };
                self.reads.insert(index, read);
                let transfer = BulkTransfer {
                    from: store,
                    to: index,
                    left,
                };
                self.links().others.push(transfer);
            }
            return;
        };
        let transfers = &mut self.links().others;
        let position = transfers.iter().position(|transfer| transfer.to == index);
        let position = position.expect("a read has a transfer");
        let is_complete = transfers[position].left <= 0.0;
        if is_complete || is_turned_away || now >= read.started_at + CALL_TIMEOUT_MS {
            transfers.swap_remove(position);
            self.reads.remove(&index);
            self.due[index] = now + RETRY_MS;
        }
        if is_complete {
            let config = Arc::new(config(read.version, "/x/"));
            let item = CollectionItem::RoutingConfig(config, self.text.clone());
            let event = CollectionEvent::Listed(vec![item], ObjectVersion(read.version));
            let event = EdgeEvent::Collection(StoreCollection::RoutingConfig, event);
            self.network.handle(index, event);
        }
    }

    pub fn links(&mut self) -> &mut BulkLinks {
        self.network.bulk.as_mut().expect("links are limited")
    }

    /// Runs until an instant, with changes from one instant on; returns how late nodes in touch
    /// were at the worst.
    pub fn run(&mut self, until: u64, changes_from: u64) -> u64 {
        let mut worst = 0;
        while self.network.now < until {
            self.network.run(self.network.now + TICK_MS);
            let now = self.network.now;
            if now >= changes_from
                && now >= self.acknowledged[self.acknowledged.len() - 1] + CHANGE_INTERVAL_MS
            {
                self.acknowledged.push(now);
            }
            for index in 0..self.due.len() {
                self.read(index);
                // Nodes with a list of the endpoints keep it.
                if now.is_multiple_of(400) && !self.is_turned_away(index) {
                    for collection in [StoreCollection::Endpoints, StoreCollection::Shared] {
                        let event = CollectionEvent::Changed(Vec::new(), ObjectVersion(now));
                        let event = EdgeEvent::Collection(collection, event);
                        self.network.handle(index, event);
                    }
                }
            }
            if now.is_multiple_of(100) {
                worst = worst.max(self.lateness());
            }
        }
        worst
    }

    /// How long ago the oldest version was acknowledged that a node in touch lacks.
    fn lateness(&mut self) -> u64 {
        let now = self.network.now;
        let (_, from, until) = self.turned_away;
        let is_disturbed = (from..until + CONTACT_MS).contains(&now);
        let mut worst = 0;
        for index in 0..self.due.len() {
            let is_turned_away = is_disturbed && (self.turned_away.0)(index);
            if is_turned_away || now < self.in_touch_from[index] {
                continue;
            }
            let version = self.version_of(index) as usize;
            if let Some(acknowledged_at) = self.acknowledged.get(version + 1) {
                worst = worst.max(now - acknowledged_at);
            }
        }
        worst
    }
}

impl Platform {
    pub fn check(&mut self, name: &str, worst: u64) {
        let count = self.due.len();
        let lost = self.links().lost;
        println!("{count} nodes, {name}: {worst} ms, {lost} large messages given up");
        assert!(
            worst <= apply_bound(count),
            "{count} nodes, {name}: a node in touch lacked a version {worst} ms after its \
             acknowledgement; {lost} large messages were given up"
        );
    }
}

/// Bound of a deployment of this size.
fn apply_bound(count: usize) -> u64 {
    match count {
        0..=10 => 2_000,
        11..=100 => 3_000,
        _ => 4_000,
    }
}

/// Turns nodes away for nine seconds beside changes, and lets them come back.
fn check(count: usize, name: &str, is_turned_away: impl Fn(usize) -> bool + 'static) {
    let mut platform = Platform::new(count);
    platform.turned_away = (Box::new(is_turned_away), 5_000, 14_000);
    let worst = platform.run(24_000, 4_000);
    platform.check(name, worst);
}

#[test]
fn a_hub_that_was_turned_away_has_each_large_configuration_in_time() {
    for count in [3, 6, 12, 24, 70, 195] {
        check(count, "one hub", |index| index == 1);
    }
}

#[test]
fn a_third_of_the_nodes_and_a_hub_have_each_large_configuration_in_time() {
    for count in [12, 24, 70, 195] {
        check(count, "a third", |index| index % 3 == 1);
    }
}

#[test]
fn all_hubs_that_were_turned_away_have_each_large_configuration_in_time() {
    for count in [12, 70, 195] {
        check(count, "all hubs", |index| index < 4);
    }
}

#[test]
fn hubs_that_start_one_after_the_other_have_each_large_configuration_in_time() {
    for count in [3, 6, 12, 24, 70, 195] {
        let mut platform = Platform::new(count);
        let mut worst = 0;
        for (index, started_at) in [(1, 6_000), (2, 7_300), (3, 8_600), (0, 9_900)] {
            worst = worst.max(platform.run(started_at, 4_000));
            if index < count {
                platform.restart(index);
            }
        }
        worst = worst.max(platform.run(20_000, 4_000));
        platform.check("hubs start", worst);
    }
}

#[test]
fn an_older_hub_is_sent_few_copies_of_a_configuration() {
    for count in [3, 6, 12, 24, 70, 195] {
        let mut platform = Platform::new(count);
        platform.turned_away = (Box::new(|index| index == 1), 5_000, 40_000);
        // A change once the nodes know one another.
        platform.run(5_200, 5_100);
        platform.run(7_100, u64::MAX);
        let sent = platform.network.sent.get(&(1, "configuration")).copied();
        let sent = sent.unwrap_or(0);
        assert!((1..=4).contains(&sent), "{count} nodes: {sent} copies");
    }
}
