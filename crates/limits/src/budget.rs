//! Retry budgets: retries limited to a share of recent requests.
//!
//! A sliding window consists of buckets. A retry is granted while the number of
//! retries in the window is below a share of its requests, or below a small floor
//! that permits retries for services with few calls.

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;

use crate::BudgetSettings;

/// Whether a call may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallIdempotency {
    /// Running it twice has the effect of running it once.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
}

/// Proof that a call is idempotent; required to claim a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotentCall(CallId);

impl IdempotentCall {
    /// Proof for a call; `None` if it is not idempotent.
    pub fn new(call: CallId, idempotency: CallIdempotency) -> Option<Self> {
        (idempotency == CallIdempotency::Idempotent).then_some(Self(call))
    }

    /// The idempotent call.
    pub fn call(self) -> CallId {
        self.0
    }
}

/// Result of claiming a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryOutcome {
    /// The call may be retried.
    Granted(IdempotentCall),
    /// The budget is exhausted: the caller gets the failure of the last attempt.
    Exhausted,
}

/// Retry budgets of one node's services.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    pub(crate) settings: BudgetSettings,
    pub(crate) services: BTreeMap<ServiceName, RetryWindow>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct RetryWindow {
    pub(crate) buckets: VecDeque<RetryBucket>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBucket {
    pub(crate) closes: ClockTime,
    pub(crate) expires: ClockTime,
    pub(crate) requests: u64,
    pub(crate) retries: u64,
}

impl RetryBudget {
    /// Budgets without any requests.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            services: BTreeMap::new(),
        }
    }
}

impl RetryBudget {
    /// Replaces the settings; the counts are kept.
    pub fn configure(&mut self, settings: BudgetSettings) {
        self.settings = settings;
    }
}

impl RetryWindow {
    /// Requests and retries in the window.
    pub(crate) fn count(&self, now: ClockTime) -> (u64, u64) {
        let live = self.buckets.iter().filter(|bucket| bucket.expires > now);
        live.fold((0, 0), |(requests, retries), bucket| {
            (requests + bucket.requests, retries + bucket.retries)
        })
    }

    /// Current bucket, which is added if the last one is closed.
    pub(crate) fn open_bucket(
        &mut self,
        settings: &BudgetSettings,
        now: ClockTime,
    ) -> &mut RetryBucket {
        self.buckets.retain(|bucket| bucket.expires > now);
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.closes <= now)
        {
            let count = u32::try_from(settings.bucket_count).unwrap_or(u32::MAX);
            self.buckets.push_back(RetryBucket {
                closes: now + settings.bucket_duration,
                expires: now + settings.bucket_duration * count,
                requests: 0,
                retries: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
