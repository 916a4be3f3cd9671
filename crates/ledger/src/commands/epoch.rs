//! Reads and advances of the epoch by which records expire.

use base::prelude::*;
use store::UpdateOutcome;

use crate::state::{CallStage, Effects, EpochRequest};
use crate::{CallVerdict, EpochRead, LedgerEffect, LedgerEpoch, LedgerState, NotRunReason};

/// Reads of the epoch per period.
const READS_PER_EPOCH: u32 = 4;

impl LedgerState {
    /// Processes the outcome of the epoch's read.
    pub fn complete_epoch_read(&mut self, read: EpochRead, now: ClockTime) -> Vec<LedgerEffect> {
        let mut effects = Effects::new();
        let Some(EpochRequest::Read { sent_at }) = self.epoch.in_flight.take() else {
            return effects;
        };
        match read {
            EpochRead::Found { version, epoch } if version >= self.epoch.newest_version => {
                self.cache_epoch(version, epoch, sent_at, now);
                self.advance_epoch(now, &mut effects);
            }
            EpochRead::Missing if self.epoch.newest_version == ObjectVersion::default() => {
                self.cache_epoch(
                    ObjectVersion::default(),
                    LedgerEpoch::default(),
                    sent_at,
                    now,
                );
                self.advance_epoch(now, &mut effects);
            }
            // A version older than one already seen says nothing about the present epoch.
            EpochRead::Found { .. } | EpochRead::Missing => self.back_off_epoch(now),
            EpochRead::Unavailable => self.handle_epoch_outage(now, &mut effects),
        }
        self.start_all_requests(now, &mut effects);
        effects
    }

    /// Processes the outcome of the epoch's conditional update.
    pub fn complete_epoch_write(
        &mut self,
        outcome: UpdateOutcome,
        now: ClockTime,
    ) -> Vec<LedgerEffect> {
        let mut effects = Effects::new();
        let Some(EpochRequest::Write { sent_at, epoch }) = self.epoch.in_flight.take() else {
            return effects;
        };
        match outcome {
            UpdateOutcome::Applied(version) => self.cache_epoch(version, epoch, sent_at, now),
            // Another process advanced it, or it is read again and the update repeated.
            _ => self.back_off_epoch(now),
        }
        self.start_all_requests(now, &mut effects);
        effects
    }

    /// Epoch for new records; `None` if the last read is too old.
    ///
    /// Within one period of the read, the true epoch is at most one higher.
    pub(crate) fn epoch_for_records(&self, now: ClockTime) -> Option<LedgerEpoch> {
        let is_usable = now < self.epoch.requested_at + self.settings.epoch_duration;
        self.epoch.record_epoch.filter(|_| is_usable)
    }

    /// Clears the epoch for new records if it has become too old.
    pub(crate) fn expire_record_epoch(&mut self, now: ClockTime) {
        self.epoch.record_epoch = self.epoch_for_records(now);
    }

    /// Starts a read of the epoch if a call waits for it or the next read is due.
    pub(crate) fn start_epoch_read(&mut self, now: ClockTime, effects: &mut Effects) {
        if self.epoch_due().is_some_and(|due| due <= now) {
            self.epoch.in_flight = Some(EpochRequest::Read { sent_at: now });
            effects.push(LedgerEffect::ReadEpoch);
        }
    }

    fn cache_epoch(
        &mut self,
        version: ObjectVersion,
        epoch: LedgerEpoch,
        requested_at: ClockTime,
        now: ClockTime,
    ) {
        if self.epoch.newest != Some(epoch) {
            self.epoch.newest = Some(epoch);
            self.epoch.first_seen_at = now;
        }
        self.epoch.newest_version = version;
        self.epoch.record_epoch = Some(epoch);
        self.epoch.requested_at = requested_at;
        self.expire_record_epoch(now);
        self.epoch.failures = 0;
        let interval = self.settings.epoch_duration / READS_PER_EPOCH;
        self.epoch.not_before = now + self.jittered(interval);
    }

    /// Advances the epoch once it has been unchanged for a whole period.
    fn advance_epoch(&mut self, now: ClockTime, effects: &mut Effects) {
        let Some(newest) = self.epoch.newest else {
            return;
        };
        if now < self.epoch.first_seen_at + self.settings.epoch_duration {
            return;
        }
        let epoch = LedgerEpoch(newest.0 + 1);
        self.epoch.in_flight = Some(EpochRequest::Write {
            sent_at: now,
            epoch,
        });
        effects.push(LedgerEffect::WriteEpoch {
            expected: self.epoch.newest_version,
            epoch,
        });
    }

    fn back_off_epoch(&mut self, now: ClockTime) {
        let backoff = self.jittered_backoff(self.epoch.failures);
        self.epoch.failures = self.epoch.failures.saturating_add(1);
        self.epoch.not_before = now + backoff;
    }

    /// Handles a store that does not respond: without an epoch no record can be written.
    fn handle_epoch_outage(&mut self, now: ClockTime, effects: &mut Effects) {
        self.back_off_epoch(now);
        if self.epoch_for_records(now).is_some() {
            return;
        }
        let is_waiting = |call: &&CallId| self.is_unrecorded(**call);
        let calls: Vec<CallId> = self.calls.keys().filter(is_waiting).copied().collect();
        for call in calls {
            self.close_call(
                call,
                CallVerdict::NotRun(NotRunReason::StoreUnavailable),
                effects,
            );
        }
    }

    pub(crate) fn start_all_requests(&mut self, now: ClockTime, effects: &mut Effects) {
        for shard in self.active.clone() {
            self.start_shard_request(shard, now, effects);
        }
    }

    /// Whether any call waits for its start record.
    pub(crate) fn has_recording(&self) -> bool {
        let mut calls = self.calls.values();
        calls.any(|call| call.stage == CallStage::Recording)
    }
}
