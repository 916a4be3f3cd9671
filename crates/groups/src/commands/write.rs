//! Updates of the stored object and their outcomes.
//!
//! An update whose outcome is unknown may still take effect later, as long as no
//! other update has changed the object. It is therefore kept, with the instant
//! before it was sent, until the nonce of a newer version shows which update
//! took effect.

use base::prelude::*;
use rand::Rng;
use store::UpdateOutcome;

use crate::state::SentWrite;
use crate::{FabricEffect, FabricRecord, FabricState};

/// Largest number of updates without a known outcome that are kept.
const UNRESOLVED_WRITE_LIMIT: usize = 64;

impl FabricState {
    /// Starts an update of the object to this record.
    pub(crate) fn send_write(&mut self, mut record: FabricRecord, now: ClockTime) -> FabricEffect {
        record.nonce = WriteNonce(self.rng.next_u64());
        let expected = self.version.unwrap_or_default();
        self.write_at = now + self.settings.store_retry;
        if self.writes.len() == UNRESOLVED_WRITE_LIMIT {
            self.writes.remove(0);
        }
        self.writes.push(SentWrite {
            record: record.clone(),
            expected,
            sent_at: now,
            unresolved: false,
        });
        FabricEffect::Write { record, expected }
    }

    /// Records the outcome of the update with this nonce.
    pub fn complete_write(
        &mut self,
        nonce: WriteNonce,
        outcome: UpdateOutcome,
        now: ClockTime,
    ) -> Vec<FabricEffect> {
        let found = self
            .writes
            .iter()
            .position(|write| write.record.nonce == nonce);
        let Some(index) = found else {
            return self.tick(now);
        };
        self.changed = true;
        match outcome {
            UpdateOutcome::Applied(version) => {
                let record = self.writes[index].record.clone();
                self.apply_record(record, version, now);
            }
            UpdateOutcome::Conflict => {
                self.writes.remove(index);
                self.read_at = Some(now);
            }
            UpdateOutcome::Unavailable | UpdateOutcome::TooLarge => {
                self.writes.remove(index);
            }
            UpdateOutcome::Unknown => {
                self.writes[index].unresolved = true;
                self.read_at = Some(now);
            }
        }
        self.tick(now)
    }

    /// Whether an update is pending or the object has to be read to learn its outcome.
    pub(crate) fn is_writing(&self) -> bool {
        self.read_at.is_some() || self.writes.iter().any(|write| !write.unresolved)
    }

    /// Marks updates without an outcome after `store_limit` as unresolved.
    pub(crate) fn expire_unanswered_writes(&mut self, now: ClockTime) {
        let limit = self.settings.store_limit;
        for write in &mut self.writes {
            if !write.unresolved && write.sent_at + limit <= now {
                write.unresolved = true;
                self.read_at = Some(now);
            }
        }
    }
}
