//! Versions announced by peers, and their proof.

use base::prelude::*;

use crate::catalog::{PendingFetch, VersionOrder};
use crate::{FrameRefusal, Item, ItemDigest, ItemEntry, PeerEffect, PeerMessage, PeerState};

impl PeerState {
    /// Handles the versions that a peer has in force.
    pub(crate) fn handle_announcement(
        &mut self,
        from: &NodeName,
        entries: Vec<ItemEntry>,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        let mut effects = Vec::new();
        let mut newer = Vec::new();
        for entry in entries {
            self.leave_busy_peer(from, &entry, now);
            match self.catalog.compare(&entry) {
                VersionOrder::Same => {}
                VersionOrder::Newer => effects.extend(self.evaluate_version(from, &entry, now)),
                VersionOrder::OtherDigest => effects.push(refuse(from, FrameRefusal::OtherDigest)),
                VersionOrder::Older => newer.extend(self.catalog.entry(&entry.key)),
            }
        }
        if !newer.is_empty() {
            effects.push(refuse(from, FrameRefusal::OldVersion));
            effects.extend(self.send_to(from, PeerMessage::Announce(newer)));
        }
        effects.extend(self.fetch_due(now));
        effects
    }

    /// Records a peer as a witness of a newer version and adopts the version once
    /// it is proven.
    pub(crate) fn evaluate_version(
        &mut self,
        from: &NodeName,
        entry: &ItemEntry,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        if let Some(pending) = self.catalog.pending_fetches.get_mut(&entry.key) {
            if pending.entry == *entry {
                if !pending.holders.contains(from) {
                    pending.holders.push(from.clone());
                }
                return Vec::new();
            }
            if pending.entry.version >= entry.version {
                return Vec::new();
            }
        }
        let confirm_at = self.jittered_instant(now, self.settings.confirm_retry_interval);
        let expires_at = now + self.settings.quarantine_timeout;
        let witnesses = self
            .catalog
            .add_witness(entry, from, confirm_at, expires_at);
        let is_proven = self.is_proven(from, witnesses.len());
        let mut effects = Vec::new();
        if is_proven || witnesses.len() >= self.required_witnesses() {
            effects.extend(self.note_version(entry, now));
        }
        if is_proven {
            effects.extend(self.adopt_version(entry.clone(), witnesses, now));
        }
        effects
    }

    /// Whether a version is proven by this many peers, the last of which is `from`.
    fn is_proven(&self, from: &NodeName, witness_count: usize) -> bool {
        if self.reads_store() {
            return false;
        }
        self.is_watcher(from) || witness_count >= self.required_witnesses()
    }

    /// Whether this node is a watcher that currently reaches the store, so that it
    /// accepts versions only from there.
    pub(crate) fn reads_store(&self) -> bool {
        self.store.is_watcher && self.store.listed.is_some() && self.store.failures == 0
    }

    /// Number of witnesses that prove a version; fewer if there are fewer links.
    pub(crate) fn required_witnesses(&self) -> usize {
        self.settings.witness_count.min(self.links.len()).max(1)
    }

    pub(crate) fn is_watcher(&self, node: &NodeName) -> bool {
        self.watchers
            .values()
            .any(|watchers| watchers.contains(node))
    }

    /// Installs a proven version if its body is known, else schedules a fetch.
    pub(crate) fn adopt_version(
        &mut self,
        entry: ItemEntry,
        holders: Vec<NodeName>,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        let body = match self.catalog.get(&entry.key) {
            _ if entry.digest == ItemDigest::REMOVED => Some(None),
            Some(held) if held.digest == entry.digest => Some(held.body.clone()),
            _ => None,
        };
        if let Some(body) = body {
            let item = Item {
                key: entry.key,
                version: entry.version,
                body,
            };
            return self.install_item(item, &holders, now);
        }
        let mut pending = PendingFetch::new(entry.clone(), holders, now);
        if let Some(former) = self.catalog.pending_fetches.remove(&entry.key) {
            pending.supersede(former);
        }
        self.catalog.pending_fetches.insert(entry.key, pending);
        Vec::new()
    }

    /// Puts an item into force and announces it on links whose peers may lack it.
    pub(crate) fn install_item(
        &mut self,
        item: Item,
        holders: &[NodeName],
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        let entry = item.entry();
        if !self
            .catalog
            .install(&item, now + self.settings.settle_delay)
        {
            return Vec::new();
        }
        self.notices.drop_applied(&entry.key, entry.version);
        self.synced_peers.clear();
        let mut effects = vec![PeerEffect::Deliver(item)];
        let is_ready = self.readiness.is_some();
        let lacking = self
            .links
            .iter()
            .filter(|(peer, _)| is_ready && !holders.contains(peer));
        for (_, link) in lacking {
            let message = PeerMessage::Announce(vec![entry.clone()]);
            effects.push(self.send(link.address, message));
        }
        effects.extend(self.check_readiness(now));
        effects
    }
}

pub(crate) fn refuse(from: &NodeName, reason: FrameRefusal) -> PeerEffect {
    PeerEffect::Refused {
        from: from.clone(),
        reason,
    }
}
