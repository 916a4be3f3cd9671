//! Sending updates of the object and learning how they ended.
//!
//! An update without a verdict may still take effect later, as long as nobody
//! else has changed the object. It is therefore kept, with the instant before
//! it was sent, until a newer version shows by its nonce which update won.

use base::prelude::*;
use rand::Rng;
use store::UpdateOutcome;

use crate::state::SentWrite;
use crate::{FabricEffect, FabricRecord, FabricState};

/// Most updates without a verdict that are remembered.
const WRITE_MEMORY: usize = 64;

impl FabricState {
    /// Starts an update that makes this record.
    pub(crate) fn send_write(&mut self, mut record: FabricRecord, now: ClockTime) -> FabricEffect {
        record.nonce = WriteNonce(self.rng.next_u64());
        let expected = self.version.unwrap_or_default();
        self.write_at = now + self.settings.store_retry;
        if self.writes.len() == WRITE_MEMORY {
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

    /// Takes in how the update with this nonce ended.
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
                self.adopt(record, version, now);
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

    /// Whether an update is on its way or its end still has to be read back.
    pub(crate) fn is_writing(&self) -> bool {
        self.read_at.is_some() || self.writes.iter().any(|write| !write.unresolved)
    }

    /// Counts updates that were never concluded as without a verdict.
    pub(crate) fn note_silent_writes(&mut self, now: ClockTime) {
        let limit = self.settings.store_limit;
        for write in &mut self.writes {
            if !write.unresolved && write.sent_at + limit <= now {
                write.unresolved = true;
                self.read_at = Some(now);
            }
        }
    }
}
