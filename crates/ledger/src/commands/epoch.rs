//! The epoch by which marks age.

use base::prelude::*;
use store::UpdateOutcome;

use crate::state::{CallStage, Effects, EpochFlight};
use crate::{CallVerdict, EpochRead, LedgerEffect, LedgerEpoch, LedgerState, NotRunReason};

/// Reads of the epoch in each of its periods.
const READS_PER_EPOCH: u32 = 4;

impl LedgerState {
    /// Takes in the end of the epoch's read.
    pub fn complete_epoch_read(&mut self, read: EpochRead, now: ClockTime) -> Vec<LedgerEffect> {
        let mut effects = Effects::new();
        let Some(EpochFlight::Read { sent_at }) = self.epoch.flight.take() else {
            return effects;
        };
        match read {
            EpochRead::Found { version, epoch } if version >= self.epoch.floor => {
                self.learn_epoch(version, epoch, sent_at, now);
                self.raise_epoch(now, &mut effects);
            }
            EpochRead::Missing if self.epoch.floor == ObjectVersion::default() => {
                self.learn_epoch(
                    ObjectVersion::default(),
                    LedgerEpoch::default(),
                    sent_at,
                    now,
                );
                self.raise_epoch(now, &mut effects);
            }
            // An older version than one already seen is no news.
            EpochRead::Found { .. } | EpochRead::Missing => self.pause_epoch(now),
            EpochRead::Unavailable => self.lose_epoch(now, &mut effects),
        }
        self.pump_all(now, &mut effects);
        effects
    }

    /// Takes in the end of the epoch's conditional update.
    pub fn complete_epoch_write(
        &mut self,
        outcome: UpdateOutcome,
        now: ClockTime,
    ) -> Vec<LedgerEffect> {
        let mut effects = Effects::new();
        let Some(EpochFlight::Write { sent_at, epoch }) = self.epoch.flight.take() else {
            return effects;
        };
        match outcome {
            UpdateOutcome::Applied(version) => self.learn_epoch(version, epoch, sent_at, now),
            // Somebody else raised it, or it will be read back and tried again.
            _ => self.pause_epoch(now),
        }
        self.pump_all(now, &mut effects);
        effects
    }

    /// Whether the epoch is recent enough to stamp marks with.
    ///
    /// Within one period of its reading, the true epoch is at most one further.
    pub(crate) fn stamp_epoch(&self, now: ClockTime) -> Option<LedgerEpoch> {
        let usable = now < self.epoch.asked_at + self.settings.epoch_length;
        self.epoch.stamp.filter(|_| usable)
    }

    /// Forgets a stamp that has become too old.
    pub(crate) fn drop_stamp(&mut self, now: ClockTime) {
        self.epoch.stamp = self.stamp_epoch(now);
    }

    /// Reads the epoch if a call waits for it or a reading is due.
    pub(crate) fn pump_epoch(&mut self, now: ClockTime, effects: &mut Effects) {
        if self.epoch_due().is_some_and(|due| due <= now) {
            self.epoch.flight = Some(EpochFlight::Read { sent_at: now });
            effects.push(LedgerEffect::ReadEpoch);
        }
    }

    fn learn_epoch(
        &mut self,
        version: ObjectVersion,
        epoch: LedgerEpoch,
        asked_at: ClockTime,
        now: ClockTime,
    ) {
        if self.epoch.known != Some(epoch) {
            self.epoch.known = Some(epoch);
            self.epoch.seen_at = now;
        }
        self.epoch.floor = version;
        self.epoch.stamp = Some(epoch);
        self.epoch.asked_at = asked_at;
        self.drop_stamp(now);
        self.epoch.failures = 0;
        let pause = self.settings.epoch_length / READS_PER_EPOCH;
        self.epoch.not_before = now + self.jittered(pause);
    }

    /// Raises the epoch once it has stood for a whole period.
    fn raise_epoch(&mut self, now: ClockTime, effects: &mut Effects) {
        let Some(known) = self.epoch.known else {
            return;
        };
        if now < self.epoch.seen_at + self.settings.epoch_length {
            return;
        }
        let epoch = LedgerEpoch(known.0 + 1);
        self.epoch.flight = Some(EpochFlight::Write {
            sent_at: now,
            epoch,
        });
        effects.push(LedgerEffect::WriteEpoch {
            expected: self.epoch.floor,
            epoch,
        });
    }

    fn pause_epoch(&mut self, now: ClockTime) {
        let pause = self.jittered_pause(self.epoch.failures);
        self.epoch.failures = self.epoch.failures.saturating_add(1);
        self.epoch.not_before = now + pause;
    }

    /// The store gave no answer: without an epoch no mark can be made.
    fn lose_epoch(&mut self, now: ClockTime, effects: &mut Effects) {
        self.pause_epoch(now);
        if self.stamp_epoch(now).is_some() {
            return;
        }
        let waiting = |call: &&CallId| self.is_unmarked(**call);
        let calls: Vec<CallId> = self.calls.keys().filter(waiting).copied().collect();
        for call in calls {
            self.tell_last(
                call,
                CallVerdict::NotRun(NotRunReason::StoreUnavailable),
                effects,
            );
        }
    }

    pub(crate) fn pump_all(&mut self, now: ClockTime, effects: &mut Effects) {
        for shard in self.active.clone() {
            self.pump_shard(shard, now, effects);
        }
    }

    /// Whether any call waits for its mark.
    pub(crate) fn has_wanting(&self) -> bool {
        let mut calls = self.calls.values();
        calls.any(|call| call.phase == CallStage::Wanting)
    }
}
