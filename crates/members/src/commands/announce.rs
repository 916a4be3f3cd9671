//! Versions in force elsewhere, and what proves them.

use base::prelude::*;

use crate::catalog::{VersionOrder, WantedItem};
use crate::{FrameRefusal, Item, ItemDigest, ItemEntry, PeerEffect, PeerMessage, PeerState};

impl PeerState {
    /// Takes in what a peer has in force.
    pub(crate) fn take_announcement(
        &mut self,
        from: &NodeName,
        entries: Vec<ItemEntry>,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        let mut effects = Vec::new();
        let mut newer = Vec::new();
        for entry in entries {
            match self.catalog.compare(&entry) {
                VersionOrder::Same => {}
                VersionOrder::Newer => effects.extend(self.weigh_version(from, &entry, now)),
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

    /// Decides whether a peer's word proves a version.
    pub(crate) fn weigh_version(
        &mut self,
        from: &NodeName,
        entry: &ItemEntry,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        if let Some(wanted) = self.catalog.wanted.get_mut(&entry.key) {
            if wanted.entry == *entry {
                if !wanted.holders.contains(from) {
                    wanted.holders.push(from.clone());
                }
                return Vec::new();
            }
            if wanted.entry.version >= entry.version {
                return Vec::new();
            }
        }
        let confirm_at = self.jitter_from(now, self.settings.confirm_retry);
        let expires_at = now + self.settings.quarantine_limit;
        let witnesses = self
            .catalog
            .add_witness(entry, from, confirm_at, expires_at);
        if !self.is_proven(from, witnesses.len()) {
            return Vec::new();
        }
        self.want_version(entry.clone(), witnesses, now)
    }

    /// Whether the word of so many peers, this one the last, makes a proof.
    fn is_proven(&self, from: &NodeName, witness_count: usize) -> bool {
        if self.reads_store() {
            return false;
        }
        self.is_watcher(from) || witness_count >= self.witnesses_needed()
    }

    /// Whether this node reads every version from the store itself.
    pub(crate) fn reads_store(&self) -> bool {
        self.store.is_watcher && self.store.listed.is_some() && self.store.failures == 0
    }

    /// Witnesses that make a proof; fewer where there are fewer peers.
    fn witnesses_needed(&self) -> usize {
        self.settings.witness_count.min(self.links.len()).max(1)
    }

    pub(crate) fn is_watcher(&self, node: &NodeName) -> bool {
        self.watchers
            .values()
            .any(|watchers| watchers.contains(node))
    }

    /// Takes a proven version over, or asks for its body first.
    pub(crate) fn want_version(
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
        let wanted = WantedItem {
            entry: entry.clone(),
            holders,
            retry_at: now,
            attempts: 0,
        };
        self.catalog.wanted.insert(entry.key, wanted);
        Vec::new()
    }

    /// Puts an item into force and tells all links that may lack it.
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
        self.synced.clear();
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
