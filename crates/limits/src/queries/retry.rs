//! What is left of the retry budget.

use base::prelude::*;

use crate::RetryBudget;

/// Whether the budget of a service allows one more retry.
pub fn has_retry(budget: &RetryBudget, service: &ServiceName, now: ClockTime) -> bool {
    let window = budget.services.get(service);
    let (requests, retries) = window.map_or((0, 0), |window| window.count(now));
    let share = (requests as f64 * budget.settings.retry_share) as u64;
    retries < share.max(u64::from(budget.settings.retry_floor))
}
