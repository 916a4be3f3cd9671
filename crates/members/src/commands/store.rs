//! Results of calls to the store, which prove versions by themselves.

use base::prelude::*;

use crate::catalog::VersionOrder;
use crate::{Item, PeerEffect, PeerState, ReadinessProof, StoreListing};

impl PeerState {
    /// Puts an item that was read from the store into force.
    ///
    /// An older version than the one in force is reported and not applied.
    pub fn apply_store_item(&mut self, item: Item, now: ClockTime) -> Vec<PeerEffect> {
        self.store.failures = 0;
        let order = self.catalog.compare(&item.entry());
        if order != VersionOrder::Newer {
            self.record_unchanged(&item.key, now);
        }
        if order == VersionOrder::Older {
            return vec![PeerEffect::StoreBehind(item.key)];
        }
        self.install_item(item, &[], now)
    }

    /// Records that the store did not answer a read of items.
    pub fn record_read_failure(&mut self) {
        self.store.failures += 1;
    }

    /// Puts an item into force that this node has written to the store.
    pub fn publish(&mut self, item: Item, now: ClockTime) -> Vec<PeerEffect> {
        self.apply_store_item(item, now)
    }

    /// Applies a listing, the answer of the store to a watch.
    pub fn apply_store_listing(
        &mut self,
        listing: StoreListing,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        self.store.is_call_pending = false;
        self.store.failures = 0;
        self.store.next_call_at = self.store.is_watcher.then_some(now);
        if self
            .store
            .listed
            .is_some_and(|listed| listing.version < listed)
        {
            self.store.next_call_at = Some(now + self.settings.store_initial_backoff);
            return Vec::new();
        }
        self.store.listed = Some(listing.version);
        let mut effects = Vec::new();
        for entry in listing.entries {
            match self.catalog.compare(&entry) {
                VersionOrder::Same => {}
                VersionOrder::Newer => effects.extend(self.adopt_listed(entry, now)),
                VersionOrder::Older | VersionOrder::OtherDigest => {
                    effects.push(PeerEffect::StoreBehind(entry.key));
                }
            }
        }
        effects.extend(self.fetch_due(now));
        effects.extend(self.check_readiness(now));
        effects
    }

    fn adopt_listed(&mut self, entry: crate::ItemEntry, now: ClockTime) -> Vec<PeerEffect> {
        let pending = self.catalog.pending_fetches.get(&entry.key);
        if pending.is_some_and(|pending| pending.entry.version >= entry.version) {
            return Vec::new();
        }
        self.adopt_version(entry, Vec::new(), now)
    }

    /// Records that the store did not answer a watch, and schedules a retry with
    /// exponential backoff.
    pub fn record_listing_failure(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        self.store.is_call_pending = false;
        let doublings = self.store.failures.min(10);
        self.store.failures += 1;
        let backoff = self.settings.store_initial_backoff * 2_u32.pow(doublings);
        let wait = backoff.min(self.settings.store_max_backoff);
        self.store.next_call_at = Some(self.jittered_instant(now, wait));
        Vec::new()
    }

    /// Becomes ready once the versions held are proven.
    pub(crate) fn check_readiness(&mut self, now: ClockTime) -> Option<PeerEffect> {
        if self.readiness.is_some() {
            return None;
        }
        self.readiness = self.find_proof(now);
        self.readiness.map(|_| PeerEffect::Ready)
    }

    fn find_proof(&self, now: ClockTime) -> Option<ReadinessProof> {
        if self.store.listed.is_some() {
            let has_all_bodies = self.catalog.pending_fetches.is_empty();
            return has_all_bodies.then_some(ReadinessProof::Store);
        }
        let others = self.directory.live().count().saturating_sub(1);
        let needed = self.settings.proving_peer_count.min(others).max(1);
        let store_is_down = self.store.failures > 0 && now >= self.timers.store_grace_ends_at;
        (store_is_down && self.synced_peers.len() >= needed).then_some(ReadinessProof::Peers)
    }
}
