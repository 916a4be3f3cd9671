//! What is known of the failure domains.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{DomainDelays, SpillPlan};

/// Requests that the same servers can run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TrafficPool {
    /// Service of the requests.
    pub service: ServiceName,
    /// Model of the requests; `None` for a plain service.
    pub model: Option<ModelName>,
}

/// Two failure domains, in the direction of the requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DomainPair {
    /// Domain of the callers.
    pub from: DomainName,
    /// Domain of the servers.
    pub to: DomainName,
}

/// Servers of a pool in one failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainSupply {
    /// Requests that they run.
    pub pool: TrafficPool,
    /// Their failure domain.
    pub domain: DomainName,
    /// Requests that they run at the same time.
    pub slots: usize,
    /// Requests that all nodes have sent them and that have not ended.
    pub in_flight: u32,
    /// Requests a second that they serve in time.
    pub per_second: f64,
}

impl DomainSupply {
    /// Requests in flight per slot.
    pub(crate) fn fill(&self) -> f64 {
        f64::from(self.in_flight) / self.slots.max(1) as f64
    }

    /// Whether no slot is left.
    pub(crate) fn is_full(&self) -> bool {
        self.in_flight as usize >= self.slots
    }
}

/// Requests of a pool that arrive at the nodes of one failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainDemand {
    /// The requests.
    pub pool: TrafficPool,
    /// Failure domain of the nodes.
    pub domain: DomainName,
    /// Arrivals a second.
    pub per_second: f64,
}

/// What a plan is computed from.
pub struct SpillView<'a> {
    /// Servers by pool and domain.
    pub supply: &'a [DomainSupply],
    /// Arrivals by pool and domain.
    pub demand: &'a [DomainDemand],
    /// Delays between domains, by service. Only pools of these services are planned.
    pub delays: &'a BTreeMap<ServiceName, DomainDelays>,
    /// Whether requests of a pool may go from one domain to another.
    pub is_allowed: &'a dyn Fn(&TrafficPool, &DomainPair) -> bool,
    /// Age of the sums.
    pub age: Duration,
    /// Plan in force.
    pub previous: &'a SpillPlan,
}
