//! Bodies of proven versions, from peers and in the end from the store.

use std::collections::BTreeMap;

use base::prelude::*;
use rand::RngExt;

use super::announce::refuse;
use crate::catalog::VersionOrder;
use crate::{FrameRefusal, Item, ItemEntry, ItemKey, PeerEffect, PeerMessage, PeerState};

/// Most bodies asked for in one frame.
const KEYS_PER_FETCH: usize = 64;
/// Bytes of bodies after which a frame is sent.
const BYTES_PER_FRAME: usize = 64 * 1_024;
/// Tries with peers before the store is asked for a body.
const PEER_ATTEMPTS: usize = 4;
/// Tries after which a ready node gives a version up until it is announced again.
const MOST_ATTEMPTS: usize = 25;

impl PeerState {
    /// Asks for all bodies that are due, in few frames.
    pub(crate) fn fetch_due(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        let retry_at = now + self.settings.fetch_retry;
        let fallback = self.random_link();
        let mut fetches: BTreeMap<NodeName, Vec<ItemKey>> = BTreeMap::new();
        let mut reads = Vec::new();
        let mut given_up = Vec::new();
        let is_ready = self.readiness.is_some();
        for (key, wanted) in &mut self.catalog.wanted {
            if wanted.retry_at > now {
                continue;
            }
            if is_ready && wanted.attempts >= MOST_ATTEMPTS {
                given_up.push(key.clone());
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
        for key in given_up {
            self.catalog.wanted.remove(&key);
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
    pub(crate) fn read_items(&mut self, keys: Vec<ItemKey>, now: ClockTime) -> Option<PeerEffect> {
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
}
