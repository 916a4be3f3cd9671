//! Links, watchers and subset peers that follow from the known nodes.

use std::collections::BTreeMap;

use base::prelude::*;

use super::observe::subsets_of;
use crate::directory::NodeEntry;
use crate::overlay::{RankPurpose, hash_text, ring_neighbours};
use crate::state::PeerLink;
use crate::{NodePhase, NodeRecord, PeerState};

impl PeerState {
    /// Derives everything anew if the known nodes have changed.
    pub(crate) fn refresh_due(&mut self, now: ClockTime) {
        if self.timers.refresh_at.is_none_or(|due| due > now) {
            return;
        }
        self.timers.refresh_at = None;
        self.watchers = self.derive_watchers();
        let derived = self.derive_links();
        self.replace_links(derived, now);
        self.subset_peers = self.derive_subset_peers();
        self.take_watch(now);
    }

    fn derive_watchers(&self) -> BTreeMap<DomainName, Vec<NodeName>> {
        let mut watchers = BTreeMap::new();
        for entry in self.directory.live() {
            let domain = &entry.record.domain;
            if !watchers.contains_key(domain) {
                let first = self
                    .directory
                    .watchers_of(domain, self.settings.watcher_count);
                watchers.insert(domain.clone(), first);
            }
        }
        watchers
    }

    fn derive_links(&self) -> Vec<NodeRecord> {
        let region = |entry: &&NodeEntry| entry.record.region == self.own.region;
        let domain = |entry: &&NodeEntry| region(entry) && entry.record.domain == self.own.domain;
        let mut names = Vec::new();
        names.extend(self.ring_names(RankPurpose::DomainRing, domain));
        names.extend(self.ring_names(RankPurpose::SecondDomainRing, domain));
        names.extend(self.ring_names(RankPurpose::RegionRing, region));
        names.extend(self.ring_names(RankPurpose::SecondRegionRing, region));
        names.extend(self.equal_watchers());
        names.sort_unstable();
        names.dedup();
        let records = names.iter().filter_map(|name| self.directory.get(name));
        records.cloned().collect()
    }

    fn ring_names(
        &self,
        purpose: RankPurpose,
        belongs: impl Fn(&&NodeEntry) -> bool,
    ) -> Vec<NodeName> {
        let own_hash = hash_text(self.own.node.as_str());
        let others = self.directory.live().filter(belongs);
        let others = others.filter(|entry| entry.record.node != self.own.node);
        let ranked = others.map(|entry| (entry.hash, &entry.record.node));
        let neighbours = ring_neighbours(own_hash, purpose, ranked);
        neighbours.into_iter().flatten().cloned().collect()
    }

    /// Watchers of this node's rank in the other failure domains.
    fn equal_watchers(&self) -> Vec<NodeName> {
        let own = self.watchers.get(&self.own.domain);
        let rank = own.and_then(|names| names.iter().position(|name| *name == self.own.node));
        let Some(rank) = rank else {
            return Vec::new();
        };
        let others = self
            .watchers
            .iter()
            .filter(|(domain, _)| **domain != self.own.domain);
        others
            .filter_map(|(_, names)| names.get(rank).cloned())
            .collect()
    }

    fn replace_links(&mut self, derived: Vec<NodeRecord>, now: ClockTime) {
        let mut links = std::mem::take(&mut self.links);
        links.retain(|peer, link| !link.is_derived && self.is_live(peer));
        let silent_at = now + self.settings.silence_limit;
        for record in derived {
            let known = links.remove(&record.node);
            let link = PeerLink {
                address: record.address,
                is_derived: true,
                silent_at: known.as_ref().map_or(silent_at, |link| link.silent_at),
                is_silent: known.is_some_and(|link| link.is_silent),
            };
            self.links.insert(record.node, link);
        }
        self.links.extend(links);
    }

    fn is_live(&self, node: &NodeName) -> bool {
        let record = self.directory.get(node);
        record.is_some_and(|record| record.phase != NodePhase::Dead)
    }

    /// Ring neighbours in each of this node's routing subsets.
    fn derive_subset_peers(&self) -> Vec<NodeName> {
        let count = self.settings.subset_count;
        let mut names = Vec::new();
        for subset in subsets_of(&self.own.node, count) {
            let belongs = |entry: &&NodeEntry| {
                entry.record.region == self.own.region
                    && subsets_of(&entry.record.node, count).contains(&subset)
            };
            names.extend(self.ring_names(RankPurpose::SubsetRing, belongs));
            names.extend(self.ring_names(RankPurpose::SecondSubsetRing, belongs));
        }
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Starts or stops watching the store as this node's rank says.
    fn take_watch(&mut self, now: ClockTime) {
        let own = self.watchers.get(&self.own.domain);
        let is_watcher = own.is_some_and(|names| names.contains(&self.own.node));
        if is_watcher && !self.store.is_watcher && self.readiness.is_some() {
            let call_at = self.spread_from(now, self.settings.heartbeat_period);
            self.store.call_at = Some(call_at);
        }
        self.store.is_watcher = is_watcher;
    }
}
