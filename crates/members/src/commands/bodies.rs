//! Fetching of the bodies of proven versions, from peers and from the store.

use std::collections::BTreeMap;

use base::prelude::*;
use rand::RngExt;

use super::announce::refuse;
use crate::catalog::VersionOrder;
use crate::{FrameRefusal, Item, ItemEntry, ItemKey, PeerEffect, PeerMessage, PeerState};

/// Maximum number of bodies requested in one frame.
const KEYS_PER_FETCH: usize = 64;
/// Total size of the bodies above which a frame is split.
const BYTES_PER_FRAME: usize = 64 * 1_024;
/// Attempts with peers before a body is read from the store.
const PEER_FETCH_ATTEMPTS: usize = 4;
/// Attempts after which a ready node drops a fetch until the version is
/// announced again.
const MAX_FETCH_ATTEMPTS: usize = 25;

impl PeerState {
    /// Requests all bodies that are due, with several keys in a frame.
    pub(crate) fn fetch_due(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        let retry_at = now + self.settings.fetch_retry_interval;
        let fallback = self.random_link();
        let mut fetches: BTreeMap<NodeName, Vec<ItemKey>> = BTreeMap::new();
        let mut reads = Vec::new();
        let mut abandoned = Vec::new();
        let is_ready = self.readiness.is_some();
        for (key, pending) in &mut self.catalog.pending_fetches {
            if pending.retry_at > now {
                continue;
            }
            if is_ready && pending.attempts >= MAX_FETCH_ATTEMPTS {
                abandoned.push(key.clone());
                continue;
            }
            let index = pending.attempts % pending.holders.len().max(1);
            let holder = pending.holders.get(index).or(fallback.as_ref());
            let read_first = self.store.is_watcher && pending.holders.is_empty();
            let read_turn = if read_first { 0 } else { PEER_FETCH_ATTEMPTS };
            let is_read_turn = pending.attempts % (PEER_FETCH_ATTEMPTS + 1) == read_turn;
            let reads_store = is_read_turn || holder.is_none();
            if reads_store && self.store.next_read_at > now {
                pending.retry_at = self.store.next_read_at;
                continue;
            }
            match holder.filter(|_| !is_read_turn) {
                Some(holder) => fetches.entry(holder.clone()).or_default().push(key.clone()),
                None => reads.push(key.clone()),
            }
            pending.attempts += 1;
            pending.retry_at = retry_at;
        }
        for key in abandoned {
            self.catalog.pending_fetches.remove(&key);
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

    /// Reads items from the store, at most once per jittered retry interval.
    pub(crate) fn read_items(&mut self, keys: Vec<ItemKey>, now: ClockTime) -> Option<PeerEffect> {
        if keys.is_empty() || self.store.next_read_at > now {
            return None;
        }
        self.store.next_read_at = self.jittered_instant(now, self.settings.fetch_retry_interval);
        Some(PeerEffect::ReadItems(keys))
    }

    /// Answers with the requested items, several in a frame.
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
                .expect("there is at least one frame")
                .push(item);
        }
        let filled = frames.into_iter().filter(|items| !items.is_empty());
        filled
            .filter_map(|items| self.send_to(from, PeerMessage::Items(items)))
            .collect()
    }

    /// Installs the items that were requested and refuses the others.
    pub(crate) fn handle_items(
        &mut self,
        from: &NodeName,
        items: Vec<Item>,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        let mut effects = Vec::new();
        for item in items {
            let entry = item.entry();
            let pending = self.catalog.pending_fetches.get(&item.key);
            match pending.filter(|pending| pending.entry == entry) {
                Some(pending) => {
                    let holders = pending.holders.clone();
                    effects.extend(self.install_item(item, &holders, now));
                }
                None => effects.extend(self.refuse_item(from, &entry, now)),
            }
        }
        effects
    }

    /// Refuses an item whose version isn't proven; a newer version counts as
    /// announced by the sender.
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
                effects.extend(self.evaluate_version(from, entry, now));
                effects
            }
        }
    }
}
