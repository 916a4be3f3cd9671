//! Servers that lose many answers, beside changes of a large configuration and losses of hubs.
//!
//! Guards against failures in which reports of crashes filled the links of hubs, so that
//! configurations and targets waited behind them.

use edge::border::ports::{CollectionItem, StoreCollection};

use crate::large_configs::{CONTACT_MS, Platform};
use crate::lossy_clients::LossyClients;
use crate::network::{TICK_MS, node_entry};
use crate::support::{at, endpoint, list};

/// Plain servers.
const SERVERS: usize = 48;
/// Beginning of the losses of answers, and first loss of a hub.
const LOSSES_FROM_MS: u64 = 3_000;
const FIRST_HUB_LOSS_MS: u64 = 4_000;
/// Time from the loss of one hub to that of the next.
const HUB_LOSS_INTERVAL_MS: u64 = 1_300;
const HUB_LOSSES: usize = 4;
/// Largest share of a link that reports of crashes may use in a second.
const MAX_CRASHES_SHARE: f64 = 0.1;
/// The same for every other kind but configurations.
const MAX_KIND_SHARE: f64 = 0.5;

/// Nodes whose requests lose half of their answers.
struct LossyDeployment {
    platform: Platform,
    count: usize,
    clients: LossyClients,
}

impl LossyDeployment {
    fn new(count: usize) -> Self {
        let mut platform = Platform::new(count);
        for state in &mut platform.network.nodes {
            let servers = (1..=SERVERS).map(|index| endpoint(&format!("p-{index}")));
            let servers = servers.map(CollectionItem::Endpoint).collect();
            list(state, StoreCollection::Endpoints, servers, at(0));
            let entries = (0..count).map(|index| node_entry(index, "zone-a"));
            list(state, StoreCollection::Shared, entries.collect(), at(0));
        }
        Self {
            platform,
            count,
            clients: LossyClients::new(LOSSES_FROM_MS),
        }
    }

    /// Runs until an instant; returns how late nodes in touch were at the worst.
    fn run(&mut self, end: u64) -> u64 {
        let mut worst = 0;
        while self.platform.network.now < end {
            let now = self.platform.network.now;
            self.lose_hubs(now);
            self.clients.advance(&mut self.platform.network);
            worst = worst.max(self.platform.run(now + TICK_MS, LOSSES_FROM_MS));
        }
        worst
    }

    fn lose_hubs(&mut self, now: u64) {
        for hub in 0..HUB_LOSSES.min(self.count) {
            let lost_at = FIRST_HUB_LOSS_MS + hub as u64 * HUB_LOSS_INTERVAL_MS;
            if now == lost_at {
                self.platform.network.cut_off.insert(hub);
                self.platform.in_touch_from[hub] = u64::MAX;
            }
            if now == lost_at + CONTACT_MS {
                self.platform.network.cut_off.remove(&hub);
                self.platform.in_touch_from[hub] = now + CONTACT_MS;
            }
        }
    }
}

/// Runs a deployment of this size; fails if a version is late or a kind of message fills a link.
fn check(count: usize, end: u64) {
    let mut deployment = LossyDeployment::new(count);
    let worst = deployment.run(end);
    let largest = deployment.platform.network.largest_evidence;
    println!("{count} nodes: (reports, clearances, suspects of one crash) {largest:?}");
    let links = deployment.platform.links();
    let busiest = [
        ("sent", links.busiest_senders()),
        ("received", links.busiest_receivers()),
    ];
    for (direction, kinds) in busiest {
        for (kind, (share, node, second)) in kinds {
            let most = format!("{direction} {kind} {share:.3} of the link of node {node}");
            println!("{count} nodes: {most} in second {second}");
            let limit = match (direction, kind) {
                ("sent", "crashes") => MAX_CRASHES_SHARE,
                ("sent", "digest" | "targets" | "record") => MAX_KIND_SHARE,
                _ => f64::INFINITY,
            };
            assert!(
                share < limit,
                "{count} nodes: {most} in second {second}; a version was {worst} ms late"
            );
        }
    }
    deployment.platform.check("answers lost", worst);
}

#[test]
fn lost_answers_fill_no_link_with_crash_reports_at_few_nodes() {
    for count in [3, 6, 12, 24] {
        check(count, 14_000);
    }
}

#[test]
fn lost_answers_fill_no_link_with_crash_reports_at_70_nodes() {
    check(70, 10_000);
}

#[test]
fn lost_answers_fill_no_link_with_crash_reports_at_195_nodes() {
    check(195, 8_000);
}
