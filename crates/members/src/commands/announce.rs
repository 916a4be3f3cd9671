//! Versions in force elsewhere, their proof and their bodies.

use std::collections::BTreeMap;

use base::prelude::*;
use rand::RngExt;

use crate::catalog::{VersionOrder, WantedItem};
use crate::{
    FrameRefusal, Item, ItemDigest, ItemEntry, ItemKey, PeerEffect, PeerMessage, PeerState,
};

/// Most bodies asked for in one frame.
const KEYS_PER_FETCH: usize = 64;
/// Bytes of bodies after which a frame is sent.
const BYTES_PER_FRAME: usize = 64 * 1_024;
/// Tries with peers before the store is asked for a body.
const PEER_ATTEMPTS: usize = 4;
/// Tries with watchers before the store is asked for a confirmation.
const CONFIRM_ATTEMPTS: u32 = 3;

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
    fn weigh_version(
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
        let is_proven = self.is_watcher(from) || witnesses.len() >= self.witnesses_needed();
        if !is_proven {
            return Vec::new();
        }
        self.want_version(entry.clone(), witnesses, now)
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

    /// Asks for all bodies that are due, in few frames.
    pub(crate) fn fetch_due(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        let retry_at = now + self.settings.fetch_retry;
        let fallback = self.random_link();
        let mut fetches: BTreeMap<NodeName, Vec<ItemKey>> = BTreeMap::new();
        let mut reads = Vec::new();
        for (key, wanted) in &mut self.catalog.wanted {
            if wanted.retry_at > now {
                continue;
            }
            let index = wanted.attempts % wanted.holders.len().max(1);
            let holder = wanted.holders.get(index).or(fallback.as_ref());
            let read_first = self.store.is_watcher && wanted.holders.is_empty();
            let read_turn = if read_first { 0 } else { PEER_ATTEMPTS };
            let is_read_turn = wanted.attempts % (PEER_ATTEMPTS + 1) == read_turn;
            let reads_store = is_read_turn || holder.is_none();
            if reads_store && self.store.read_at > now {
                wanted.retry_at = self.store.read_at;
                continue;
            }
            match holder.filter(|_| !is_read_turn) {
                Some(holder) => fetches.entry(holder.clone()).or_default().push(key.clone()),
                None => reads.push(key.clone()),
            }
            wanted.attempts += 1;
            wanted.retry_at = retry_at;
        }
        let mut effects = self.send_fetches(fetches);
        effects.extend(self.read_items(reads, now));
        effects
    }

    fn send_fetches(&self, fetches: BTreeMap<NodeName, Vec<ItemKey>>) -> Vec<PeerEffect> {
        let mut effects = Vec::new();
        for (holder, keys) in fetches {
            for chunk in keys.chunks(KEYS_PER_FETCH) {
                effects.extend(self.send_to(&holder, PeerMessage::Fetch(chunk.to_vec())));
            }
        }
        effects
    }

    fn random_link(&mut self) -> Option<NodeName> {
        if self.links.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..self.links.len());
        self.links.keys().nth(index).cloned()
    }

    /// Reads items from the store, at most once in a while.
    fn read_items(&mut self, keys: Vec<ItemKey>, now: ClockTime) -> Option<PeerEffect> {
        if keys.is_empty() || self.store.read_at > now {
            return None;
        }
        self.store.read_at = self.jitter_from(now, self.settings.fetch_retry);
        Some(PeerEffect::ReadItems(keys))
    }

    /// Sends bodies, several in a frame.
    pub(crate) fn answer_fetch(&self, from: &NodeName, keys: &[ItemKey]) -> Vec<PeerEffect> {
        let mut frames = vec![Vec::new()];
        let mut bytes = 0;
        for key in keys {
            let Some(held) = self.catalog.get(key) else {
                continue;
            };
            let size = held.body.as_ref().map_or(0, |body| body.len());
            if bytes > 0 && bytes + size > BYTES_PER_FRAME {
                frames.push(Vec::new());
                bytes = 0;
            }
            bytes += size;
            let item = Item {
                key: key.clone(),
                version: held.version,
                body: held.body.clone(),
            };
            frames
                .last_mut()
                .expect("there is always a frame")
                .push(item);
        }
        let filled = frames.into_iter().filter(|items| !items.is_empty());
        filled
            .filter_map(|items| self.send_to(from, PeerMessage::Items(items)))
            .collect()
    }

    /// Takes bodies that were asked for.
    pub(crate) fn take_items(
        &mut self,
        from: &NodeName,
        items: Vec<Item>,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        let mut effects = Vec::new();
        for item in items {
            let entry = item.entry();
            let wanted = self.catalog.wanted.get(&item.key);
            match wanted.filter(|wanted| wanted.entry == entry) {
                Some(wanted) => {
                    let holders = wanted.holders.clone();
                    effects.extend(self.install_item(item, &holders, now));
                }
                None => effects.extend(self.refuse_item(from, &entry, now)),
            }
        }
        effects
    }

    /// Refuses a body that no proof covers; its version may still be weighed.
    fn refuse_item(
        &mut self,
        from: &NodeName,
        entry: &ItemEntry,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        match self.catalog.compare(entry) {
            VersionOrder::Same => Vec::new(),
            VersionOrder::Older => vec![refuse(from, FrameRefusal::OldVersion)],
            VersionOrder::OtherDigest => vec![refuse(from, FrameRefusal::WrongBody)],
            VersionOrder::Newer => {
                let mut effects = vec![refuse(from, FrameRefusal::WrongBody)];
                effects.extend(self.weigh_version(from, entry, now));
                effects
            }
        }
    }

    /// Tells which of these versions are in force here.
    pub(crate) fn answer_confirm(&self, from: &NodeName, keys: &[ItemKey]) -> Vec<PeerEffect> {
        let entries: Vec<_> = keys
            .iter()
            .filter_map(|key| self.catalog.entry(key))
            .collect();
        if entries.is_empty() {
            return Vec::new();
        }
        let answer = self.send_to(from, PeerMessage::Announce(entries));
        answer.into_iter().collect()
    }

    /// Puts versions in quarantine to a watcher, and in the end to the store.
    pub(crate) fn confirm_due(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        self.catalog
            .quarantine
            .retain(|quarantined| quarantined.expires_at > now);
        let confirm_at = self.jitter_from(now, self.settings.confirm_retry);
        let mut asked = Vec::new();
        let mut unanswered = Vec::new();
        for quarantined in &mut self.catalog.quarantine {
            if quarantined.confirm_at > now {
                continue;
            }
            quarantined.attempts += 1;
            let wait = self.settings.confirm_retry * quarantined.attempts.min(16);
            quarantined.confirm_at = confirm_at + wait;
            if quarantined.attempts > CONFIRM_ATTEMPTS || self.store.is_watcher {
                unanswered.push(quarantined.entry.key.clone());
            } else {
                asked.push(quarantined.entry.key.clone());
            }
        }
        let mut effects = self.ask_watcher(asked);
        effects.extend(self.read_items(unanswered, now));
        effects
    }

    fn ask_watcher(&mut self, keys: Vec<ItemKey>) -> Vec<PeerEffect> {
        let all = self.watchers.values().flatten();
        let others: Vec<_> = all
            .filter(|node| **node != self.own.node)
            .cloned()
            .collect();
        if keys.is_empty() || others.is_empty() {
            return Vec::new();
        }
        let watcher = &others[self.random.random_range(0..others.len())];
        let chunks = keys.chunks(KEYS_PER_FETCH);
        let messages = chunks.map(|chunk| PeerMessage::Confirm(chunk.to_vec()));
        messages
            .filter_map(|message| self.send_to(watcher, message))
            .collect()
    }
}

fn refuse(from: &NodeName, reason: FrameRefusal) -> PeerEffect {
    PeerEffect::Refused {
        from: from.clone(),
        reason,
    }
}
