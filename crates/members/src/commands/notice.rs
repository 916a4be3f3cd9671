//! Versions that peers know of and may not have.

use base::prelude::*;

use crate::catalog::VersionOrder;
use crate::{ItemEntry, ItemKey, PeerEffect, PeerMessage, PeerState};

/// Longest time from the beginning of a read of the store to its end.
const MAX_READ_TIME: Duration = Duration::from_secs(5);

impl PeerState {
    /// Handles versions that a peer knows to be proven.
    pub(crate) fn handle_notice(
        &mut self,
        from: &NodeName,
        known: &[ItemEntry],
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        let known = known
            .iter()
            .flat_map(|entry| self.evaluate_notice(from, entry, now));
        known.collect()
    }

    fn evaluate_notice(
        &mut self,
        from: &NodeName,
        entry: &ItemEntry,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        if self.catalog.compare(entry) != VersionOrder::Newer {
            return Vec::new();
        }
        let expires_at = now + self.settings.quarantine_timeout;
        let witnesses = self.notices.add_witness(entry, from, expires_at);
        let is_proof = !self.reads_store() && self.is_watcher(from);
        if is_proof || witnesses >= self.required_witnesses() {
            return self.note_version(entry, now);
        }
        Vec::new()
    }

    /// Notes that a version is known to exist, and tells the linked peers if that is new.
    pub(crate) fn note_version(&mut self, entry: &ItemEntry, now: ClockTime) -> Vec<PeerEffect> {
        let expires_at = now + self.settings.quarantine_timeout;
        if !self.notices.confirm(entry, now, expires_at) {
            return Vec::new();
        }
        let links = self.links.values();
        let notices = links.map(|link| {
            let message = PeerMessage::Notice {
                summary: self.summary(link.is_derived),
                known: vec![entry.clone()],
            };
            self.send(link.address, message)
        });
        notices.collect()
    }

    /// Records that a read of the store has brought no newer version of an item than the one in
    /// force.
    pub fn record_unchanged(&mut self, key: &ItemKey, now: ClockTime) {
        self.notices.disprove(key, now.before(MAX_READ_TIME));
    }
}
