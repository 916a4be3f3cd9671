//! Actions that are due after a change or at a deadline.

use base::prelude::*;

use crate::queries::plan::plan_fabric;
use crate::{FabricEffect, FabricRecord, FabricState};

impl FabricState {
    /// Returns the actions that changes since the last call or deadlines require.
    ///
    /// Planning costs much more than checking the deadlines, and most host
    /// reports are equal to the previous one. Without a change or a due deadline
    /// nothing is planned.
    pub fn tick(&mut self, now: ClockTime) -> Vec<FabricEffect> {
        let due = self.next_deadline().is_some_and(|deadline| deadline <= now);
        if !due && !self.changed {
            return Vec::new();
        }
        self.changed = false;
        self.ticked_at = now;
        self.expire_unanswered_writes(now);
        self.update_timers(now);
        let mut effects = Vec::new();
        effects.extend(self.due_read(now));
        effects.extend(self.due_write(now));
        if !self.stopping {
            effects.extend(self.due_orders(now));
        }
        effects
    }

    fn due_read(&mut self, now: ClockTime) -> Option<FabricEffect> {
        self.read_at.filter(|&read_at| read_at <= now)?;
        self.read_at = Some(now + self.settings.store_retry + self.draw_jitter());
        let fabric = self.record.fabric.clone();
        Some(FabricEffect::Read { fabric })
    }

    fn due_write(&mut self, now: ClockTime) -> Option<FabricEffect> {
        if self.is_writing() || now < self.write_at {
            return None;
        }
        let record = self.next_record(now)?;
        Some(self.send_write(record, now))
    }

    fn next_record(&self, now: ClockTime) -> Option<FabricRecord> {
        if self.stopping {
            return self.released_record(now);
        }
        if self.is_isolated(now) {
            return None;
        }
        if self.may_acquire(now) {
            return Some(self.acquired_record());
        }
        let held = self.held.as_ref().filter(|held| now < held.valid_until)?;
        let mut record = self.record.clone();
        if self.may_send_orders(now) {
            record = plan_fabric(&self.plan_view(now), &self.record);
        }
        if record == self.record && now < held.renew_at {
            return None;
        }
        if let Some(lease) = record.lease.as_mut() {
            lease.renewals += 1;
        }
        Some(record)
    }

    fn released_record(&self, now: ClockTime) -> Option<FabricRecord> {
        if !self.holds_lease(now) {
            return None;
        }
        let mut record = self.record.clone();
        record.lease = None;
        Some(record)
    }
}
