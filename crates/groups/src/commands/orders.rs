//! Orders to hosts whose report differs from the record.
//!
//! Only the holder of the lease gives orders, only from the record that it
//! knows to be written, and none while an update is on its way. Loads are
//! queued: those that bring a group back with the fewest loads go first, groups
//! that still lack a member come next, and hosts that wait outside the groups
//! come last.

use std::net::SocketAddr;

use base::prelude::*;

use crate::queries::wanted::{WantedOrder, wanted_orders};
use crate::state::SentOrder;
use crate::{FabricEffect, FabricState, MemberPhase};

impl FabricState {
    /// Whether hosts may be ordered and their reports trusted.
    pub(crate) fn orders_open(&self, now: ClockTime) -> bool {
        let checks = self.targets.values().all(|t| t.spec.checks_fencing);
        self.own
            .as_ref()
            .filter(|own| now < own.valid_until)
            .is_some_and(|own| checks || own.orders_open_at <= now)
    }

    pub(crate) fn due_orders(&mut self, now: ClockTime) -> Vec<FabricEffect> {
        if !self.orders_open(now) || !self.writes.is_empty() {
            return Vec::new();
        }
        let Some(not_after) = self.own.as_ref().map(|own| own.valid_until) else {
            return Vec::new();
        };
        let wanted = wanted_orders(&self.plan_view(now), &self.record);
        self.orders
            .retain(|host, _| wanted.iter().any(|order| order.host == *host));
        let mut slots = self.free_slots(&wanted, now);
        let mut effects = Vec::new();
        for wanted in wanted {
            if self.was_sent(&wanted, now) || (wanted.loads && slots == 0) {
                continue;
            }
            slots -= usize::from(wanted.loads);
            effects.push(self.send_order(wanted, not_after, now));
        }
        effects
    }

    fn was_sent(&self, wanted: &WantedOrder, now: ClockTime) -> bool {
        let sent = self.orders.get(&wanted.host);
        sent.is_some_and(|sent| sent.order == wanted.order && now < sent.retry_at)
    }

    /// Loads that may start, less those that run or were just ordered.
    fn free_slots(&self, wanted: &[WantedOrder], now: ClockTime) -> usize {
        let running = self
            .reports
            .values()
            .filter(|timed| now < timed.valid_until && timed.report.phase == MemberPhase::Loading);
        let ordered = wanted
            .iter()
            .filter(|wanted| wanted.loads && self.was_sent(wanted, now));
        let taken = running.count() + ordered.count();
        self.settings.load_limit.saturating_sub(taken)
    }

    fn send_order(
        &mut self,
        wanted: WantedOrder,
        not_after: ClockTime,
        now: ClockTime,
    ) -> FabricEffect {
        let sent = SentOrder {
            order: wanted.order.clone(),
            retry_at: now + self.settings.order_retry,
        };
        self.orders.insert(wanted.host.clone(), sent);
        let address: SocketAddr = wanted.address;
        FabricEffect::Order {
            host: wanted.host,
            address,
            order: wanted.order,
            not_after,
        }
    }
}
