//! Confirmation of versions in quarantine.

use base::prelude::*;
use rand::RngExt;

use crate::{ItemKey, PeerEffect, PeerMessage, PeerState};

/// Maximum number of keys in one request.
const KEYS_PER_CONFIRM: usize = 64;
/// Attempts with watchers before the store is read for a confirmation.
const CONFIRM_ATTEMPTS: u32 = 3;

impl PeerState {
    /// Answers with the versions of these items that are in force here.
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

    /// Asks a watcher to confirm the quarantined versions that are due, and reads
    /// them from the store after [`CONFIRM_ATTEMPTS`], or at once if this node is a
    /// watcher that reaches the store.
    pub(crate) fn confirm_due(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        self.catalog.expire_quarantine(now);
        let confirm_at = self.jittered_instant(now, self.settings.confirm_retry_interval);
        let reads_store = self.reads_store();
        let mut for_watcher = Vec::new();
        let mut for_store = Vec::new();
        for quarantined in self.catalog.quarantined_mut() {
            if quarantined.confirm_at > now {
                continue;
            }
            quarantined.attempts += 1;
            let wait = self.settings.confirm_retry_interval * quarantined.attempts.min(16);
            quarantined.confirm_at = confirm_at + wait;
            if quarantined.attempts > CONFIRM_ATTEMPTS || reads_store {
                for_store.push(quarantined.entry.key.clone());
            } else {
                for_watcher.push(quarantined.entry.key.clone());
            }
        }
        let mut effects = self.ask_watcher(for_watcher);
        effects.extend(self.read_items(for_store, now));
        effects
    }

    fn ask_watcher(&mut self, keys: Vec<ItemKey>) -> Vec<PeerEffect> {
        let all = self.watchers.values().flatten();
        let others: Vec<_> = all
            .filter(|node| **node != self.local.node)
            .cloned()
            .collect();
        if keys.is_empty() || others.is_empty() {
            return Vec::new();
        }
        let watcher = &others[self.random.random_range(0..others.len())];
        let chunks = keys.chunks(KEYS_PER_CONFIRM);
        let messages = chunks.map(|chunk| PeerMessage::Confirm(chunk.to_vec()));
        messages
            .filter_map(|message| self.send_to(watcher, message))
            .collect()
    }
}
