//! Derivation of links, watchers and subset peers from the known nodes.

use std::collections::BTreeMap;

use base::prelude::*;

use super::observe::subsets_of;
use crate::directory::NodeEntry;
use crate::overlay::{RankPurpose, hash_text, ring_neighbours};
use crate::state::PeerLink;
use crate::{NodePhase, NodeRecord, PeerState};

impl PeerState {
    /// Derives everything anew if a refresh is due after a change of the nodes.
    pub(crate) fn refresh_due(&mut self, now: ClockTime) {
        if self.timers.refresh_at.is_none_or(|due| due > now) {
            return;
        }
        self.timers.refresh_at = None;
        self.watchers = self.derive_watchers();
        let derived = self.derive_links();
        self.replace_links(derived, now);
        self.subset_peers = self.derive_subset_peers();
        self.update_watcher_role(now);
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
        let region = |entry: &&NodeEntry| entry.record.region == self.local.region;
        let domain = |entry: &&NodeEntry| region(entry) && entry.record.domain == self.local.domain;
        let mut names = Vec::new();
        names.extend(self.ring_names(RankPurpose::DomainRing, domain));
        names.extend(self.ring_names(RankPurpose::SecondDomainRing, domain));
        names.extend(self.ring_names(RankPurpose::RegionRing, region));
        names.extend(self.ring_names(RankPurpose::SecondRegionRing, region));
        names.extend(self.watchers_of_same_rank());
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
        let local_hash = hash_text(self.local.node.as_str());
        let others = self.directory.live().filter(belongs);
        let others = others.filter(|entry| entry.record.node != self.local.node);
        let ranked = others.map(|entry| (entry.hash, &entry.record.node));
        let neighbours = ring_neighbours(local_hash, purpose, ranked);
        neighbours.into_iter().flatten().cloned().collect()
    }

    /// Watchers of this node's rank in the other failure domains; none if this node
    /// is no watcher.
    fn watchers_of_same_rank(&self) -> Vec<NodeName> {
        let watchers = self.watchers.get(&self.local.domain);
        let rank =
            watchers.and_then(|names| names.iter().position(|name| *name == self.local.node));
        let Some(rank) = rank else {
            return Vec::new();
        };
        let others = self
            .watchers
            .iter()
            .filter(|(domain, _)| **domain != self.local.domain);
        others
            .filter_map(|(_, names)| names.get(rank).cloned())
            .collect()
    }

    fn replace_links(&mut self, derived: Vec<NodeRecord>, now: ClockTime) {
        let mut links = std::mem::take(&mut self.links);
        links.retain(|peer, link| !link.is_derived && self.is_live(peer));
        let silent_at = now + self.settings.silence_timeout;
        for record in derived {
            let former = links.remove(&record.node);
            let link = PeerLink {
                address: record.address,
                is_derived: true,
                silent_at: former.as_ref().map_or(silent_at, |link| link.silent_at),
                is_silent: former.is_some_and(|link| link.is_silent),
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
        for subset in subsets_of(&self.local.node, count) {
            let belongs = |entry: &&NodeEntry| {
                entry.record.region == self.local.region
                    && subsets_of(&entry.record.node, count).contains(&subset)
            };
            names.extend(self.ring_names(RankPurpose::SubsetRing, belongs));
            names.extend(self.ring_names(RankPurpose::SecondSubsetRing, belongs));
        }
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Starts or stops watching the store, as this node is among the watchers of
    /// its failure domain or not.
    fn update_watcher_role(&mut self, now: ClockTime) {
        let watchers = self.watchers.get(&self.local.domain);
        let is_watcher = watchers.is_some_and(|names| names.contains(&self.local.node));
        if is_watcher && !self.store.is_watcher && self.readiness.is_some() {
            let next_call_at = self.random_instant(now, self.settings.heartbeat_interval);
            self.store.next_call_at = Some(next_call_at);
        }
        self.store.is_watcher = is_watcher;
    }
}
