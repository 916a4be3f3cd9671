//! Next deadline of a node.

use base::prelude::*;

use crate::FabricState;

impl FabricState {
    /// Instant at which `tick` is due next; `None` if nothing is pending.
    pub fn next_deadline(&self) -> Option<ClockTime> {
        let renewal = self.held.iter().map(|held| held.renew_at);
        let orders_allowed = self.held.iter().map(|held| held.orders_allowed_at);
        let unanswered = self.writes.iter().filter(|write| !write.unresolved);
        let unanswered = unanswered.map(|write| write.sent_at + self.settings.store_limit);
        let reports = self.reports.values().map(|report| report.valid_until);
        let orders = self.orders.values().map(|order| order.retry_at);
        self.read_at
            .into_iter()
            .chain([self.write_at])
            .chain(renewal)
            .chain(orders_allowed)
            .chain(self.takeover_at)
            .chain(unanswered)
            .chain(reports)
            .chain(orders)
            .chain(self.timers.deadlines())
            .filter(|&deadline| deadline > self.ticked_at)
            .min()
    }
}
