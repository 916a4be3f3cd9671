//! Fetching of the bodies of proven versions, from peers and from the store.

use std::collections::BTreeMap;

use base::prelude::*;
use rand::RngExt;
use rand::seq::IteratorRandom;

use super::announce::refuse;
use crate::catalog::VersionOrder;
use crate::{FrameRefusal, Item, ItemEntry, ItemKey, PeerEffect, PeerMessage, PeerState};

/// Maximum number of bodies requested in one frame.
const KEYS_PER_FETCH: usize = 64;
/// Total size of the bodies above which a frame is split.
const BYTES_PER_FRAME: usize = 64 * 1_024;
/// Time by which bodies may be behind the rate of bodies before a request is turned down.
const MAX_BODY_BACKLOG: Duration = Duration::from_millis(100);
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
            let others = pending.holders.iter();
            let others = others.filter(|peer| Some(*peer) != pending.asked.as_ref());
            let holder = others.choose(&mut self.random).or(pending.holders.first());
            let holder = holder.or(fallback.as_ref()).cloned();
            let read_first = self.store.is_watcher && pending.holders.is_empty();
            let read_turn = if read_first { 0 } else { PEER_FETCH_ATTEMPTS };
            let is_read_turn = pending.attempts % (PEER_FETCH_ATTEMPTS + 1) == read_turn;
            let reads_store = is_read_turn || holder.is_none();
            if reads_store && self.store.next_read_at > now {
                pending.retry_at = self.store.next_read_at;
                continue;
            }
            pending.asked = holder.filter(|_| !is_read_turn);
            match &pending.asked {
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

    /// Asks another peer soon if a peer answers a request for a body with its version only.
    pub(crate) fn leave_busy_peer(&mut self, from: &NodeName, entry: &ItemEntry, now: ClockTime) {
        if self.catalog.pending_fetches.is_empty() {
            return;
        }
        let retry_at = self.jittered_instant(now, self.settings.busy_retry_interval);
        let Some(pending) = self.catalog.pending_fetches.get_mut(&entry.key) else {
            return;
        };
        if pending.asked.as_ref() == Some(from) && entry.version >= pending.entry.version {
            pending.attempts = pending.attempts.saturating_sub(1);
            pending.retry_at = pending.retry_at.min(retry_at);
        }
    }

    /// Answers with the requested items, several in a frame; while the bodies sent before have not
    /// passed at the rate of bodies, with their versions only.
    pub(crate) fn answer_fetch(
        &mut self,
        from: &NodeName,
        keys: &[ItemKey],
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        if self.timers.bodies_sent_at > now + MAX_BODY_BACKLOG {
            return self.answer_confirm(from, keys);
        }

        let mut frames = vec![Vec::new()];
        let mut bytes = 0;
        let mut total = 0;
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
            total += size;
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
        let seconds = total as f64 / f64::from(self.settings.body_rate);
        let begins_at = self.timers.bodies_sent_at.max(now);
        self.timers.bodies_sent_at = begins_at + Duration::from_secs_f64(seconds);
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
            match pending.filter(|pending| pending.is_proven(&entry)) {
                Some(pending) => {
                    let holders = pending.holders.clone();
                    effects.extend(self.install_item(item, &holders, now));
                }
                None => effects.extend(self.handle_unproven(from, item, now)),
            }
        }
        effects
    }

    /// Takes a newer version as announced by the sender; installs the item if that proves it and
    /// the sender was asked for a body, and refuses it otherwise.
    fn handle_unproven(&mut self, from: &NodeName, item: Item, now: ClockTime) -> Vec<PeerEffect> {
        let entry = item.entry();
        match self.catalog.compare(&entry) {
            VersionOrder::Same => Vec::new(),
            VersionOrder::Older => vec![refuse(from, FrameRefusal::OldVersion)],
            VersionOrder::OtherDigest => vec![refuse(from, FrameRefusal::WrongBody)],
            VersionOrder::Newer => {
                let pending = self.catalog.pending_fetches.get(&item.key);
                let is_answer = pending.is_some_and(|pending| pending.asked.as_ref() == Some(from));
                let mut effects = self.evaluate_version(from, &entry, now);
                let pending = self.catalog.pending_fetches.get(&item.key);
                match pending.filter(|pending| is_answer && pending.entry == entry) {
                    Some(pending) => {
                        let holders = pending.holders.clone();
                        effects.extend(self.install_item(item, &holders, now));
                    }
                    None if self.catalog.compare(&entry) == VersionOrder::Newer => {
                        effects.push(refuse(from, FrameRefusal::WrongBody));
                    }
                    None => {}
                }
                effects
            }
        }
    }
}
