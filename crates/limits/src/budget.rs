//! Retries as a share of recent requests.
//!
//! The window is a row of buckets. A retry is granted while the window's
//! retries stay within a share of its requests, or within a small floor that
//! lets a service with few calls retry at all.

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;

use crate::BudgetSettings;

/// Whether a call may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallIdempotency {
    /// Running it twice has the effect of running it once.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
}

/// Proof that a call is idempotent; only such calls can claim a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotentCall(CallId);

impl IdempotentCall {
    /// Proof for a call, if it is idempotent.
    pub fn new(call: CallId, repeat: CallIdempotency) -> Option<Self> {
        (repeat == CallIdempotency::Idempotent).then_some(Self(call))
    }

    /// Call it is about.
    pub fn call(self) -> CallId {
        self.0
    }
}

/// Answer to a claim for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryOutcome {
    /// The call may be tried again.
    Granted(IdempotentCall),
    /// Too many retries lately: the call's last failure is its answer.
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
    /// Budgets without a request yet.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            services: BTreeMap::new(),
        }
    }
}

impl RetryBudget {
    /// Puts other settings in force; what was counted stays.
    pub fn configure(&mut self, settings: BudgetSettings) {
        self.settings = settings;
    }
}

impl RetryWindow {
    /// Requests and retries that still count.
    pub(crate) fn count(&self, now: ClockTime) -> (u64, u64) {
        let live = self.buckets.iter().filter(|bucket| bucket.expires > now);
        live.fold((0, 0), |(requests, retries), bucket| {
            (requests + bucket.requests, retries + bucket.retries)
        })
    }

    /// Bucket of the present instant.
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
