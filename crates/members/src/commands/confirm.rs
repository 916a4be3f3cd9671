//! Versions in quarantine: who could confirm them.

use base::prelude::*;
use rand::RngExt;

use crate::{ItemKey, PeerEffect, PeerMessage, PeerState};

/// Most versions asked about in one frame.
const KEYS_PER_CONFIRM: usize = 64;
/// Tries with watchers before the store is asked for a confirmation.
const CONFIRM_ATTEMPTS: u32 = 3;

impl PeerState {
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
        self.catalog.expire_quarantine(now);
        let confirm_at = self.jitter_from(now, self.settings.confirm_retry);
        let reads_store = self.reads_store();
        let mut asked = Vec::new();
        let mut unanswered = Vec::new();
        for quarantined in self.catalog.quarantined_mut() {
            if quarantined.confirm_at > now {
                continue;
            }
            quarantined.attempts += 1;
            let wait = self.settings.confirm_retry * quarantined.attempts.min(16);
            quarantined.confirm_at = confirm_at + wait;
            if quarantined.attempts > CONFIRM_ATTEMPTS || reads_store {
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
        let chunks = keys.chunks(KEYS_PER_CONFIRM);
        let messages = chunks.map(|chunk| PeerMessage::Confirm(chunk.to_vec()));
        messages
            .filter_map(|message| self.send_to(watcher, message))
            .collect()
    }
}
