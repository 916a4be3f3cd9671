//! What one gateway knows.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;
use document::ConfigState;
use groups::{FabricRecord, ReportTable};
use ledger::{LedgerSettings, LedgerState};
use limits::{AdmissionState, BudgetSettings, LimitSettings, RetryBudget};
use platform::{DrainList, HostEntry};
use rand::SeedableRng;
use rand::rngs::StdRng;
use routing::{RouteSettings, RoutingState};

use crate::call::CallState;

/// Spans that the gateway goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayTimes {
    /// Interval between two questions to the same host.
    pub poll_interval: Duration,
    /// Life of a host's answer, counted from when it was asked for.
    pub report_validity: Duration,
    /// Interval between two reads of the fabric domains, or of the hosts.
    pub read_interval: Duration,
    /// Longest wait of a watch.
    pub watch_span: Duration,
    /// Time after a stop request in which connections are still accepted.
    pub balancer_notice: Duration,
    /// Longest time that a stop waits for calls under way.
    pub drain_limit: Duration,
}

/// Decision state of one gateway.
#[derive(Debug)]
pub struct GatewayState {
    pub(crate) node: NodeName,
    pub(crate) domain: DomainName,
    pub(crate) times: GatewayTimes,
    pub(crate) seed: u64,
    pub(crate) config: ConfigState,
    pub(crate) fabrics: BTreeMap<FabricName, FabricView>,
    pub(crate) hosts: BTreeMap<HostName, HostEntry>,
    pub(crate) drains: DrainList,
    pub(crate) reports: ReportTable,
    pub(crate) polls: PollTimers,
    pub(crate) admission: AdmissionState,
    pub(crate) routes: BTreeMap<ServiceName, RoutingState>,
    pub(crate) budget: RetryBudget,
    pub(crate) ledger: LedgerState,
    pub(crate) calls: HashMap<CallId, CallState>,
    pub(crate) stop: StopPhase,
}

/// Fabric domain as last read.
#[derive(Clone, Debug)]
pub(crate) struct FabricView {
    pub version: ObjectVersion,
    pub record: FabricRecord,
}

/// When something is next read.
#[derive(Debug)]
pub(crate) struct PollTimers {
    pub document: DueTimer,
    pub good_sections: DueTimer,
    pub fabrics: DueTimer,
    pub hosts: DueTimer,
    pub drains: DueTimer,
    pub reports: BTreeMap<HostName, ClockTime>,
}

/// How far a planned stop is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopPhase {
    /// None was asked for.
    Running,
    /// Unready, but still accepting.
    Noticing { accept_until: ClockTime },
    /// No longer accepting.
    Draining { finish_by: ClockTime },
    /// Nothing is left to do.
    Finished,
}

impl GatewayState {
    /// Gateway that knows nothing yet.
    ///
    /// `process` must differ at every start of the node.
    pub fn new(
        node: NodeName,
        domain: DomainName,
        times: GatewayTimes,
        process: u64,
        seed: u64,
    ) -> Self {
        let start = DueTimer::at(ClockTime::default());
        Self {
            ledger: LedgerState::new(LedgerSettings::default(), node.clone(), process, seed),
            node,
            domain,
            times,
            seed,
            config: ConfigState::default(),
            fabrics: BTreeMap::new(),
            hosts: BTreeMap::new(),
            drains: DrainList::default(),
            reports: ReportTable::new(),
            polls: PollTimers {
                document: start,
                good_sections: DueTimer::default(),
                fabrics: start,
                hosts: start,
                drains: start,
                reports: BTreeMap::new(),
            },
            admission: AdmissionState::new(LimitSettings::default(), StdRng::seed_from_u64(seed)),
            routes: BTreeMap::new(),
            budget: RetryBudget::new(BudgetSettings::default()),
            calls: HashMap::new(),
            stop: StopPhase::Running,
        }
    }

    /// Routing of one service.
    pub(crate) fn route_of(&mut self, service: &ServiceName) -> &mut RoutingState {
        let seed = self.seed;
        self.routes.entry(service.clone()).or_insert_with(|| {
            RoutingState::new(RouteSettings::default(), StdRng::seed_from_u64(seed))
        })
    }
}
