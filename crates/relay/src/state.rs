//! Places and requests of one node.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;
use limits::{BudgetSettings, RetryBudget};

use crate::patience::RoutePatience;
use crate::{CallArrival, Lane, Place, PlaceLoad, RelaySettings};

/// Request under way.
#[derive(Clone, Debug)]
pub(crate) struct CallState {
    pub arrival: CallArrival,
    /// Server of the present attempt.
    pub place: Option<HostName>,
    /// Lane that it is in there.
    pub lane: Lane,
    /// Generation of the group that it was sent to.
    pub epoch: GroupEpoch,
    pub sent_at: ClockTime,
    /// Whether its client has waited for longer than the route's objective before.
    pub is_late: bool,
    /// Whether bytes of the present attempt's answer came.
    pub has_begun: bool,
    /// Servers that it was sent to.
    pub tried: Vec<HostName>,
    /// Attempts that may have run.
    pub runs: u32,
    /// Attempts that did not run.
    pub rejections: u32,
}

/// Places and requests of one node.
#[derive(Clone, Debug)]
pub struct RelayState {
    pub(crate) settings: RelaySettings,
    pub(crate) zone: DomainName,
    pub(crate) places: BTreeMap<HostName, Place>,
    pub(crate) loads: HashMap<HostName, PlaceLoad>,
    pub(crate) calls: HashMap<CallId, CallState>,
    pub(crate) budget: RetryBudget,
    /// How long clients wait, by route.
    pub(crate) patience: HashMap<Arc<str>, RoutePatience>,
    /// Places drawn for each choice; none if all are compared.
    pub(crate) sample: Option<usize>,
    /// Other nodes of which nothing has been heard yet.
    pub(crate) unheard: usize,
    /// Turns ties between places about.
    pub(crate) turn: u64,
}

impl RelayState {
    /// State without places.
    pub fn new(settings: RelaySettings, budget: BudgetSettings, zone: DomainName) -> Self {
        Self {
            settings,
            zone,
            places: BTreeMap::new(),
            loads: HashMap::new(),
            calls: HashMap::new(),
            budget: RetryBudget::new(budget),
            patience: HashMap::new(),
            sample: None,
            unheard: 0,
            turn: 0,
        }
    }

    /// Puts another budget for extra sends in force.
    pub fn set_budget(&mut self, settings: BudgetSettings) {
        self.budget.configure(settings);
    }

    /// Compares only so many places that are drawn, or all of them.
    ///
    /// Where many nodes choose by counts that are some hundred milliseconds
    /// old, all of them would choose the same place.
    pub fn set_sample(&mut self, sample: Option<usize>) {
        self.sample = sample;
    }

    /// Takes so many other nodes to be as busy as this one.
    ///
    /// A node that has just started has not heard of the others' requests yet.
    pub fn set_unheard(&mut self, nodes: usize) {
        self.unheard = nodes;
    }

    /// Requests under way.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Places that take requests.
    pub fn places(&self) -> impl Iterator<Item = &Place> {
        self.places.values()
    }
}
