//! What the store says, which is the proof itself.

use base::prelude::*;

use crate::catalog::VersionOrder;
use crate::{Item, PeerEffect, PeerState, ReadinessProof, StoreListing};

impl PeerState {
    /// Takes an item read from the store into force.
    pub fn apply_store_item(&mut self, item: Item, now: ClockTime) -> Vec<PeerEffect> {
        self.store.failures = 0;
        if self.catalog.compare(&item.entry()) == VersionOrder::Older {
            return vec![PeerEffect::StoreBehind(item.key)];
        }
        self.install_item(item, &[], now)
    }

    /// Notes that the store gave no answer to a read of items.
    pub fn record_read_failure(&mut self) {
        self.store.failures += 1;
    }

    /// Puts an item into force that this node has just written to the store.
    pub fn publish(&mut self, item: Item, now: ClockTime) -> Vec<PeerEffect> {
        self.apply_store_item(item, now)
    }

    /// Takes in the end of a watch that the store answered.
    pub fn apply_store_listing(
        &mut self,
        listing: StoreListing,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        self.store.is_waiting = false;
        self.store.failures = 0;
        self.store.call_at = self.store.is_watcher.then_some(now);
        if self
            .store
            .listed
            .is_some_and(|listed| listing.version < listed)
        {
            self.store.call_at = Some(now + self.settings.store_backoff);
            return Vec::new();
        }
        self.store.listed = Some(listing.version);
        let mut effects = Vec::new();
        for entry in listing.entries {
            match self.catalog.compare(&entry) {
                VersionOrder::Same => {}
                VersionOrder::Newer => effects.extend(self.want_listed(entry, now)),
                VersionOrder::Older | VersionOrder::OtherDigest => {
                    effects.push(PeerEffect::StoreBehind(entry.key));
                }
            }
        }
        effects.extend(self.fetch_due(now));
        effects.extend(self.check_readiness(now));
        effects
    }

    fn want_listed(&mut self, entry: crate::ItemEntry, now: ClockTime) -> Vec<PeerEffect> {
        let wanted = self.catalog.wanted.get(&entry.key);
        if wanted.is_some_and(|wanted| wanted.entry.version >= entry.version) {
            return Vec::new();
        }
        self.want_version(entry, Vec::new(), now)
    }

    /// Takes in the end of a watch that the store did not answer.
    pub fn record_listing_failure(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        self.store.is_waiting = false;
        let doublings = self.store.failures.min(10);
        self.store.failures += 1;
        let backoff = self.settings.store_backoff * 2_u32.pow(doublings);
        let wait = backoff.min(self.settings.store_backoff_limit);
        self.store.call_at = Some(self.jitter_from(now, wait));
        Vec::new()
    }

    /// Becomes ready as soon as something proves what is held.
    pub(crate) fn check_readiness(&mut self, now: ClockTime) -> Option<PeerEffect> {
        if self.readiness.is_some() {
            return None;
        }
        self.readiness = self.find_proof(now);
        self.readiness.map(|_| PeerEffect::Ready)
    }

    fn find_proof(&self, now: ClockTime) -> Option<ReadinessProof> {
        if self.store.listed.is_some() {
            let is_whole = self.catalog.wanted.is_empty();
            return is_whole.then_some(ReadinessProof::Store);
        }
        let others = self.directory.live().count().saturating_sub(1);
        let needed = self.settings.proof_count.min(others).max(1);
        let store_is_down = self.store.failures > 0 && now >= self.timers.patient_until;
        (store_is_down && self.synced.len() >= needed).then_some(ReadinessProof::Peers)
    }
}
