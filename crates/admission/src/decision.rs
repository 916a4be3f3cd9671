//! Inputs and results of a decision.

use base::prelude::*;
use intent::TokenCounts;

use crate::RankDemand;

/// Order in which requests are admitted; the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdmissionRank {
    /// Whether its client has waited for too long to be answered within the objective.
    pub is_late: bool,
    /// Priority of the workspace or the route; zero is the most urgent.
    pub priority: u8,
}

/// Requests in flight at one group, from all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLoad {
    /// Number of requests that it runs at a time.
    pub slots: f64,
    /// Requests that were in time when they were sent.
    pub in_time: f64,
    /// Requests that were late.
    pub late: f64,
}

impl EngineLoad {
    /// Requests of both kinds.
    pub fn total(&self) -> f64 {
        self.in_time + self.late
    }
}

/// Request to be admitted, and what is known about the others.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionInput<'a> {
    /// Rank of the request.
    pub rank: AdmissionRank,
    /// Its tokens; zero if not known.
    pub tokens: TokenCounts,
    /// Time until the end of its objective.
    pub objective_left: Duration,
    /// Time until its client's deadline.
    pub deadline_left: Duration,
    /// Groups that can run it.
    pub loads: &'a [EngineLoad],
    /// Age of the counts in `loads`.
    pub counts_age: Duration,
    /// Arrival rates of all nodes.
    pub demand: &'a RankDemand,
    /// Random number from 0 to 1 that decides about its admission.
    pub admission_draw: f64,
    /// Random number from 0 to 1 that spreads the retry delays.
    pub delay_draw: f64,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// No slot is expected in time, or more urgent requests take it.
    NoRoom,
    /// Its workspace has used its share of the admissions.
    OverShare,
    /// It is late, and requests that are in time take the slots.
    NoHeadroom,
}

/// Advice for a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAdvice {
    /// Predicted wait for a slot.
    pub predicted_wait: Duration,
    /// Delay after which its client may retry.
    pub retry_delay: Duration,
}

/// Decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// Send it to a group with room; the groups' rooms are in the order of their loads.
    Admit(Vec<f64>),
    /// Refuse it at once.
    Refuse(RefusalCause, RetryAdvice),
}
