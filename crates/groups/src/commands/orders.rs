//! Orders to hosts whose reports differ from the record.
//!
//! Only the lease holder sends orders, only according to a record that is known
//! to be written, and none while an update is pending. Loads of weights are
//! queued: groups that need the fewest loads to serve again go first, then groups
//! that still lack a member, then standby hosts outside the groups.

use std::net::SocketAddr;

use base::prelude::*;

use crate::queries::pending::{PendingOrder, pending_orders};
use crate::state::SentOrder;
use crate::{FabricEffect, FabricState, MemberPhase};

impl FabricState {
    /// Whether this node may send orders and act on reports.
    ///
    /// That needs a valid lease. Unless all engines check the fencing token, a
    /// new holder also has to wait until no order of an earlier holder can arrive.
    pub(crate) fn may_send_orders(&self, now: ClockTime) -> bool {
        let all_check_fencing = self
            .desired_groups
            .values()
            .all(|desired| desired.spec.checks_fencing);
        self.held
            .as_ref()
            .filter(|held| now < held.valid_until)
            .is_some_and(|held| all_check_fencing || held.orders_allowed_at <= now)
    }

    pub(crate) fn due_orders(&mut self, now: ClockTime) -> Vec<FabricEffect> {
        if !self.may_send_orders(now) || !self.writes.is_empty() {
            return Vec::new();
        }
        let Some(not_after) = self.held.as_ref().map(|held| held.valid_until) else {
            return Vec::new();
        };
        let pending = pending_orders(&self.plan_view(now), &self.record);
        self.orders
            .retain(|host, _| pending.iter().any(|order| order.host == *host));
        let mut load_slots = self.free_load_slots(&pending, now);
        let mut effects = Vec::new();
        for pending in pending {
            if self.was_sent(&pending, now) || (pending.loads && load_slots == 0) {
                continue;
            }
            load_slots -= usize::from(pending.loads);
            effects.push(self.send_order(pending, not_after, now));
        }
        effects
    }

    fn was_sent(&self, pending: &PendingOrder, now: ClockTime) -> bool {
        let sent = self.orders.get(&pending.host);
        sent.is_some_and(|sent| sent.order == pending.order && now < sent.retry_at)
    }

    /// Number of further loads that may start, after those running or ordered.
    fn free_load_slots(&self, pending: &[PendingOrder], now: ClockTime) -> usize {
        let running = self
            .reports
            .values()
            .filter(|timed| now < timed.valid_until && timed.report.phase == MemberPhase::Loading);
        let ordered = pending
            .iter()
            .filter(|pending| pending.loads && self.was_sent(pending, now));
        let used = running.count() + ordered.count();
        self.settings.load_limit.saturating_sub(used)
    }

    fn send_order(
        &mut self,
        pending: PendingOrder,
        not_after: ClockTime,
        now: ClockTime,
    ) -> FabricEffect {
        let sent = SentOrder {
            order: pending.order.clone(),
            retry_at: now + self.settings.order_retry,
        };
        self.orders.insert(pending.host.clone(), sent);
        let address: SocketAddr = pending.address;
        FabricEffect::Order {
            host: pending.host,
            address,
            order: pending.order,
            not_after,
        }
    }
}
