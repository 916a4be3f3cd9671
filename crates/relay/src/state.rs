//! Places and requests of one node.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;
use limits::{BudgetSettings, RetryBudget};

use crate::patience::RoutePatience;
use crate::{CallArrival, Lane, RelaySettings, SendTarget, TargetLoad};

/// Request under way.
#[derive(Clone, Debug)]
pub(crate) struct CallState {
    pub arrival: CallArrival,
    /// Server of the present attempt.
    pub target: Option<HostName>,
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
    pub(crate) domain: DomainName,
    pub(crate) targets: BTreeMap<HostName, SendTarget>,
    pub(crate) loads: HashMap<HostName, TargetLoad>,
    pub(crate) calls: HashMap<CallId, CallState>,
    pub(crate) budget: RetryBudget,
    /// How long clients wait, by route.
    pub(crate) patience: HashMap<Arc<str>, RoutePatience>,
    /// Places drawn for each choice; none if all are compared.
    pub(crate) sample: Option<usize>,
    /// Other nodes of which nothing has been heard yet.
    pub(crate) unreported_nodes: usize,
    /// Turns ties between targets about.
    pub(crate) turn: u64,
}

impl RelayState {
    /// State without targets.
    pub fn new(settings: RelaySettings, budget: BudgetSettings, domain: DomainName) -> Self {
        Self {
            settings,
            domain,
            targets: BTreeMap::new(),
            loads: HashMap::new(),
            calls: HashMap::new(),
            budget: RetryBudget::new(budget),
            patience: HashMap::new(),
            sample: None,
            unreported_nodes: 0,
            turn: 0,
        }
    }

    /// Puts another budget for extra sends in force.
    pub fn set_budget(&mut self, settings: BudgetSettings) {
        self.budget.configure(settings);
    }

    /// Compares only so many targets that are drawn, or all of them.
    ///
    /// Where many nodes choose by counts that are some hundred milliseconds
    /// old, all of them would choose the same target.
    pub fn set_sample_size(&mut self, sample: Option<usize>) {
        self.sample = sample;
    }

    /// Takes so many other nodes to be as busy as this one.
    ///
    /// A node that has just started has not heard of the others' requests yet.
    pub fn set_unreported_nodes(&mut self, nodes: usize) {
        self.unreported_nodes = nodes;
    }

    /// Requests under way.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Places that take requests.
    pub fn targets(&self) -> impl Iterator<Item = &SendTarget> {
        self.targets.values()
    }
}
