//! State of the relay: targets and requests of one node.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;
use evacuation::EvacuatedDomains;
use exchange::RunRecord;
use exchange::queries::unproven_count;
use limits::{BudgetSettings, RetryBudget};
use notices::NoticeState;

use crate::client_timeouts::ClientTimeouts;
use crate::demand::{DemandMeter, UrgencyRank};
use crate::engines::EngineStates;
use crate::{CallArrival, Lane, RelaySettings, SendTarget, TargetLoad};

/// Attempt that was sent and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct OpenAttempt {
    /// Number among the attempts of its request.
    pub number: u32,
    pub target: HostName,
    pub lane: Lane,
    /// Epoch of the group that it was sent to.
    pub epoch: GroupEpoch,
    /// Start of the server that it was sent to.
    pub incarnation: HostIncarnation,
    pub sent_at: ClockTime,
    /// Requests of all nodes that the target had then, from the latest counts.
    pub load: u32,
    /// Whether data of its response has arrived.
    pub has_begun: bool,
}

/// Request in flight.
#[derive(Clone, Debug)]
pub(crate) struct CallState {
    pub arrival: CallArrival,
    /// Attempts that have not ended, the latest one last.
    pub open: Vec<OpenAttempt>,
    /// Number of the latest attempt.
    pub last_number: u32,
    /// Whether its client had waited for too long when it arrived to be answered within the
    /// route's objective.
    pub is_late: bool,
    /// End of the route's objective, counted from when its client began to wait.
    pub objective_end: ClockTime,
    pub urgency: UrgencyRank,
    /// Targets that it was sent to.
    pub tried: Vec<HostName>,
    /// Targets that the next choice leaves out besides.
    pub excluded: Vec<HostName>,
    /// Attempts that may have run or still may, the open ones included.
    pub runs: RunRecord,
    /// Number of attempts that certainly did not run.
    pub rejections: u32,
    /// Number of those whose target turned out to be another server.
    pub misdirections: u32,
    /// Whether it must not be sent again, as it may have crashed a server.
    pub is_crash_suspect: bool,
    /// Whether a newer version of the configuration allows its requests to run once only.
    pub is_once_only: bool,
}

impl CallState {
    /// Open attempt of a number.
    pub fn attempt(&self, number: u32) -> Option<&OpenAttempt> {
        self.open.iter().find(|attempt| attempt.number == number)
    }

    /// Whether it was sent before.
    pub fn is_retry(&self) -> bool {
        unproven_count(&self.runs) + self.rejections > 0
    }

    /// Whether all versions of the configuration since its arrival allow it to run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.arrival.route.kind.is_repeatable() && !self.is_once_only
    }

    /// Whether another target may run it, too.
    pub fn has_attempts_left(&self) -> bool {
        let runs = unproven_count(&self.runs);
        !self.is_crash_suspect
            && (runs == 0 || (self.is_repeatable() && runs < self.arrival.route.attempts))
    }
}

/// Targets and requests of one node.
#[derive(Clone, Debug)]
pub struct RelayState {
    pub(crate) settings: RelaySettings,
    pub(crate) domain: DomainName,
    pub(crate) targets: BTreeMap<HostName, SendTarget>,
    pub(crate) loads: HashMap<HostName, TargetLoad>,
    /// Failure domains whose targets get no requests.
    pub(crate) evacuated: EvacuatedDomains,
    /// Number of targets that were left out because of that, until it is next taken.
    pub(crate) evacuation_skips: u64,
    pub(crate) calls: HashMap<CallId, CallState>,
    pub(crate) budget: RetryBudget,
    /// Announcements of the servers.
    pub(crate) notices: NoticeState,
    pub(crate) demand: DemandMeter,
    /// Engines whose times are known.
    pub(crate) engines: EngineStates,
    /// Instant of the latest refusal for want of a slot.
    pub(crate) refused_at: Option<ClockTime>,
    /// Ratio of all nodes' requests to those of this node.
    pub(crate) weight_ratio: f64,
    /// Client timeouts by route.
    pub(crate) client_timeouts: HashMap<Arc<str>, ClientTimeouts>,
    /// Age of the other nodes' counts; `None` if they are nearly current.
    pub(crate) counts_age: Option<Duration>,
    /// Number of other nodes whose counts have not arrived yet.
    pub(crate) unreported_nodes: usize,
    /// Number of the next choice; rotates it among targets of equal load.
    pub(crate) rotation: u64,
}

impl RelayState {
    /// State without targets.
    pub fn new(settings: RelaySettings, budget: BudgetSettings, domain: DomainName) -> Self {
        Self {
            settings,
            domain,
            targets: BTreeMap::new(),
            loads: HashMap::new(),
            evacuated: EvacuatedDomains::default(),
            evacuation_skips: 0,
            calls: HashMap::new(),
            budget: RetryBudget::new(budget),
            notices: NoticeState::new(),
            demand: DemandMeter::default(),
            engines: EngineStates::default(),
            refused_at: None,
            weight_ratio: 1.0,
            client_timeouts: HashMap::new(),
            counts_age: None,
            unreported_nodes: 0,
            rotation: 0,
        }
    }

    /// Changes the settings of the retry budget.
    pub fn set_budget(&mut self, settings: BudgetSettings) {
        self.budget.configure(settings);
    }

    /// Sets how old the other nodes' counts are on average; `None` if they are nearly current.
    ///
    /// With old counts, requests are spread over several targets instead of all going to the
    /// one with the lowest count.
    pub fn set_counts_age(&mut self, age: Option<Duration>) {
        self.counts_age = age;
    }

    /// Sets the ratio of all nodes' requests to those of this node.
    pub fn set_weight_ratio(&mut self, ratio: f64) {
        self.weight_ratio = ratio.max(1.0);
    }

    /// Starts the node's sequence of choices at a point of its own, so that nodes that start
    /// together don't choose the same targets.
    pub fn seed_choice(&mut self, seed: u64) {
        self.rotation = seed;
    }

    /// Sets how many other nodes are assumed to be as busy as this one.
    ///
    /// A node that has just started has not received the others' counts yet.
    pub fn set_unreported_nodes(&mut self, nodes: usize) {
        self.unreported_nodes = nodes;
    }

    /// Announcements of the servers.
    pub fn notices(&self) -> &NoticeState {
        &self.notices
    }

    /// The same, to record what servers and other nodes announce.
    pub fn notices_mut(&mut self) -> &mut NoticeState {
        &mut self.notices
    }

    /// Number of kinds of requests whose rates are kept.
    pub fn pool_count(&self) -> usize {
        self.demand.pool_count()
    }

    /// Requests that arrive at this node, a second.
    pub fn arrival_rate(&self, now: ClockTime) -> f64 {
        self.demand.total(now)
    }

    /// Number of requests in flight.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Targets that accept requests.
    pub fn targets(&self) -> impl Iterator<Item = &SendTarget> {
        self.targets.values()
    }
}
