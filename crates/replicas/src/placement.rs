//! Measured demand for the models, and the move of a fabric domain between them.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

/// Demand for a model that all nodes have measured.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// Service of the requests.
    pub service: ServiceName,
    /// Model that they ask for.
    pub model: ModelName,
    /// Requests that arrive, a second.
    pub arrivals: f64,
    /// Those of them whose client was refused before and has come back.
    pub returns: f64,
    /// Requests that are refused, a second.
    pub refusals: f64,
    /// Requests in flight at the groups of the model.
    pub in_flight: f64,
    /// Mean priority of the requests, zero being the most urgent; `None` if it isn't known.
    pub priority: Option<f64>,
}

/// Averages of the demand for a model, in requests a second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DemandAverage {
    /// Requests of clients that have not been refused before.
    pub demand: f64,
    /// Requests that are not refused.
    pub carried: f64,
    /// Number of requests in flight.
    pub in_flight: f64,
    /// Latest value of `demand`.
    pub latest: f64,
    pub priority: Option<f64>,
    pub updated_at: ClockTime,
    /// Since when the latest demand has been within what the groups carry.
    pub covered_since: Option<ClockTime>,
    /// Since when the demand has exceeded what the groups carry.
    pub short_since: Option<ClockTime>,
}

/// Move of a fabric domain from one model to another.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainMove {
    /// Service of the domain's endpoints.
    pub service: ServiceName,
    /// Fabric domain.
    pub fabric: FabricName,
    /// Model that it gives up.
    pub from: ModelName,
    /// Model that it runs from now on.
    pub to: ModelName,
    /// Number of groups that are closed.
    pub closed_groups: usize,
    /// Number of groups that are formed.
    pub formed_groups: usize,
    /// Demand for the first model and what its groups carry, in requests a second.
    pub donor: LoadFigures,
    /// The same of the second model.
    pub taker: LoadFigures,
    /// Expected time until the last group serves.
    pub duration: Duration,
}

/// Demand for a model and what its groups carry, in requests a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadFigures {
    /// Demand for the model.
    pub demand: f64,
    /// What its groups carry.
    pub capacity: f64,
}

/// Spares of a fabric domain that load another model, to form whole groups of it.
#[derive(Clone, Debug, PartialEq)]
pub struct SpareLoan {
    /// Service of the endpoints.
    pub service: ServiceName,
    /// Fabric domain.
    pub fabric: FabricName,
    /// Model that they load.
    pub model: ModelName,
    /// Number of groups that they form.
    pub groups: usize,
    /// Demand for the model and what its groups carry.
    pub taker: LoadFigures,
    /// Expected time until the last group serves.
    pub duration: Duration,
}

/// Loan in force.
#[derive(Clone, Debug)]
pub(crate) struct OpenLoan {
    pub plan: SpareLoan,
    pub endpoints: BTreeSet<HostName>,
    pub begun_at: ClockTime,
    /// Whether all of its groups have served.
    pub has_served: bool,
    /// Since when the model would have had enough groups without it.
    pub unneeded_since: Option<ClockTime>,
}

/// Move that was begun last.
#[derive(Clone, Debug)]
pub(crate) struct BegunMove {
    pub plan: DomainMove,
    pub begun_at: ClockTime,
    /// Instant at which all groups served or the move was given up.
    pub ended_at: Option<ClockTime>,
}

/// What the owner keeps to decide which fabric domain changes its model. A new owner starts
/// without it.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlacementState {
    pub averages: BTreeMap<(ServiceName, ModelName), DemandAverage>,
    pub last_move: Option<BegunMove>,
    /// Loans by fabric domain.
    pub loans: BTreeMap<FabricName, OpenLoan>,
    /// Fabric domains whose loan has ended, until its groups are closed.
    pub returning: BTreeSet<FabricName>,
}

impl PlacementState {
    /// Move under way.
    pub fn current_move(&self) -> Option<&BegunMove> {
        self.last_move
            .as_ref()
            .filter(|last| last.ended_at.is_none())
    }

    /// Model that an endpoint of a domain loads instead of the home model.
    pub fn lent_model(&self, fabric: &FabricName, id: &HostName) -> Option<&ModelName> {
        let loan = self.loans.get(fabric)?;
        loan.endpoints.contains(id).then_some(&loan.plan.model)
    }
}
