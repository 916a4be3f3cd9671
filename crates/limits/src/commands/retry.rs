//! Retry budget: recording of requests and claims for retries.

use base::prelude::*;

use crate::queries::has_retry;
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
    if !has_retry(budget, service, now) {
        return RetryOutcome::Exhausted;
    }
    let window = budget.services.entry(service.clone()).or_default();
    window.open_bucket(&budget.settings, now).retries += 1;
    RetryOutcome::Granted(call)
}
