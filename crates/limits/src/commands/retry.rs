//! Retry budget: recording of requests and claims for retries.

use base::prelude::*;

use crate::{IdempotentCall, RetryBudget, RetryOutcome};

/// Records the first attempt of a request.
pub fn record_request(budget: &mut RetryBudget, service: &ServiceName, now: ClockTime) {
    let window = budget.services.entry(service.clone()).or_default();
    window.open_bucket(&budget.settings, now).requests += 1;
}

/// Claims a further attempt of an idempotent call.
pub fn claim_retry(
    budget: &mut RetryBudget,
    service: &ServiceName,
    call: IdempotentCall,
    now: ClockTime,
) -> RetryOutcome {
    let window = budget.services.entry(service.clone()).or_default();
    let (requests, retries) = window.count(now);
    let share = (requests as f64 * budget.settings.retry_share) as u64;
    if retries >= share.max(u64::from(budget.settings.retry_floor)) {
        return RetryOutcome::Exhausted;
    }
    window.open_bucket(&budget.settings, now).retries += 1;
    RetryOutcome::Granted(call)
}
