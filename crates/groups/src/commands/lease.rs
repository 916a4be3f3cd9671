//! The owner lease: acquisition, renewal, observation and release.
//!
//! The holder counts its deadline from the instant before it sent the last
//! renewal that is known to have taken effect. All other nodes count from the
//! instant at which they saw the change, plus a margin. The holder's deadline
//! therefore always passes first.

use base::prelude::*;
use rand::Rng;

use crate::state::HeldLease;
use crate::{FabricEffect, FabricRecord, FabricState, OwnerLease};

impl FabricState {
    /// Stores a newer record and updates the lease deadlines from it.
    ///
    /// A record that equals that of a pending write, nonce included, was written by
    /// this node.
    pub(crate) fn apply_record(
        &mut self,
        record: FabricRecord,
        version: ObjectVersion,
        now: ClockTime,
    ) {
        let sent_at = self
            .writes
            .iter()
            .find(|write| write.record == record)
            .map(|write| write.sent_at);
        self.writes.retain(|write| write.expected >= version);
        self.version = Some(version);
        self.record = record;
        match sent_at {
            Some(sent_at) => self.update_held_lease(sent_at),
            None => self.update_other_lease(now),
        }
    }

    fn update_held_lease(&mut self, sent_at: ClockTime) {
        self.takeover_at = None;
        if self.record.lease.is_none() {
            self.held = None;
            return;
        }
        let renewals = self.record.lease.as_ref().map_or(0, |lease| lease.renewals);
        let kept = self.held.take().filter(|_| renewals > 0);
        let is_first_lease = self.record.token == FencingToken::default().next();
        let orders_allowed_at = match kept {
            Some(held) => held.orders_allowed_at,
            None if is_first_lease => sent_at,
            None => sent_at + self.settings.order_limit,
        };
        self.held = Some(HeldLease {
            valid_until: sent_at + self.settings.lease_duration,
            renew_at: sent_at + self.settings.renew_after,
            orders_allowed_at,
        });
    }

    /// Restarts the wait for another node's lease to expire.
    ///
    /// Every newer version was written by the holder and counts as a renewal.
    fn update_other_lease(&mut self, now: ClockTime) {
        self.held = None;
        let jitter = self.draw_jitter();
        let wait = self.settings.lease_duration + self.settings.clock_margin + jitter;
        self.takeover_at = self.record.lease.as_ref().map(|_| now + wait);
    }

    pub(crate) fn draw_jitter(&mut self) -> Duration {
        let limit = u64::try_from(self.settings.acquire_jitter.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.rng.next_u64() % limit.max(1))
    }

    /// Whether the lease is known to be free or expired.
    pub(crate) fn may_acquire(&self, now: ClockTime) -> bool {
        if self.version.is_none() || self.holds_lease(now) {
            return false;
        }
        self.takeover_at
            .is_none_or(|takeover_at| takeover_at <= now)
    }

    /// Record in which this node holds the lease under the next token.
    pub(crate) fn acquired_record(&self) -> FabricRecord {
        let mut record = self.record.clone();
        record.era = self.version.map_or(0, ObjectVersion::era);
        record.token = record.token.max(FencingToken(record.era_floor())).next();
        record.lease = Some(OwnerLease {
            holder: self.node.clone(),
            process: self.process,
            renewals: 0,
        });
        record
    }

    /// Starts a graceful stop: no further orders are sent and the lease is released.
    pub fn release(&mut self, now: ClockTime) -> Vec<FabricEffect> {
        self.stopping = true;
        self.changed = true;
        self.tick(now)
    }
}
