//! The owner lease: taking, renewing, watching and giving it back.
//!
//! The holder counts its deadline from before the renewal that it knows took
//! effect was sent. Everybody else counts from when the change was seen, plus
//! a margin, so the holder's deadline always passes first.

use base::prelude::*;
use rand::Rng;

use crate::state::OwnLease;
use crate::{FabricEffect, FabricRecord, FabricState, OwnerLease};

impl FabricState {
    /// Makes a newer record the known one and settles whose lease it holds.
    pub(crate) fn adopt(&mut self, record: FabricRecord, version: ObjectVersion, now: ClockTime) {
        let sent_at = self
            .writes
            .iter()
            .find(|write| write.record == record)
            .map(|write| write.sent_at);
        self.writes.retain(|write| write.expected >= version);
        self.version = Some(version);
        self.record = record;
        match sent_at {
            Some(sent_at) => self.settle_own(sent_at),
            None => self.settle_other(now),
        }
    }

    fn settle_own(&mut self, sent_at: ClockTime) {
        self.free_at = None;
        if self.record.lease.is_none() {
            self.own = None;
            return;
        }
        let renewals = self.record.lease.as_ref().map_or(0, |lease| lease.renewals);
        let kept = self.own.take().filter(|_| renewals > 0);
        let first = self.record.token == FencingToken::default().next();
        let orders_open_at = match kept {
            Some(own) => own.orders_open_at,
            None if first => sent_at,
            None => sent_at + self.settings.order_limit,
        };
        self.own = Some(OwnLease {
            valid_until: sent_at + self.settings.lease_duration,
            renew_at: sent_at + self.settings.renew_after,
            orders_open_at,
        });
    }

    /// Any newer version was written by the holder, so the wait starts anew.
    fn settle_other(&mut self, now: ClockTime) {
        self.own = None;
        let jitter = self.draw_jitter();
        let wait = self.settings.lease_duration + self.settings.clock_margin + jitter;
        self.free_at = self.record.lease.as_ref().map(|_| now + wait);
    }

    pub(crate) fn draw_jitter(&mut self) -> Duration {
        let limit = u64::try_from(self.settings.acquire_jitter.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.rng.next_u64() % limit.max(1))
    }

    /// Whether the lease is free to take as far as this node can prove.
    pub(crate) fn may_acquire(&self, now: ClockTime) -> bool {
        if self.version.is_none() || self.holds_lease(now) {
            return false;
        }
        self.free_at.is_none_or(|free_at| free_at <= now)
    }

    /// Record in which this node takes the lease under a new token.
    pub(crate) fn acquired_record(&self) -> FabricRecord {
        let mut record = self.record.clone();
        record.token = record.token.next();
        record.lease = Some(OwnerLease {
            holder: self.node.clone(),
            process: self.process,
            renewals: 0,
        });
        record
    }

    /// Stops for good: gives no more orders and gives the lease back.
    pub fn release(&mut self, now: ClockTime) -> Vec<FabricEffect> {
        self.stopping = true;
        self.changed = true;
        self.tick(now)
    }
}
