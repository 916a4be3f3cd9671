//! When a node has to act next.

use base::prelude::*;

use crate::FabricState;

impl FabricState {
    /// Instant at which `tick` is next due.
    pub fn next_deadline(&self) -> Option<ClockTime> {
        let own = self.own.iter().map(|own| own.renew_at);
        let open = self.own.iter().map(|own| own.orders_open_at);
        let silent = self.writes.iter().filter(|write| !write.unresolved);
        let silent = silent.map(|write| write.sent_at + self.settings.store_limit);
        let reports = self.reports.values().map(|report| report.valid_until);
        let orders = self.orders.values().map(|order| order.retry_at);
        self.read_at
            .into_iter()
            .chain([self.write_at])
            .chain(own)
            .chain(open)
            .chain(self.free_at)
            .chain(silent)
            .chain(reports)
            .chain(orders)
            .chain(self.timers.deadlines())
            .filter(|&deadline| deadline > self.ticked_at)
            .min()
    }
}
