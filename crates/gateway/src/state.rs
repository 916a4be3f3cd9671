//! What one gateway knows.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;
use groups::{FabricRecord, ReportTable};
use ledger::{LedgerSettings, LedgerState};
use limits::{AdmissionState, BudgetSettings, LimitSettings, RetryBudget};
use rand::SeedableRng;
use rand::rngs::StdRng;
use routing::{RouteSettings, RoutingState};
use watch::{WatchState, WatchTimes};

use crate::call::CallState;

/// Spans that the gateway goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayTimes {
    /// Spans between reads.
    pub watch: WatchTimes,
    /// Life of a host's answer, counted from when it was asked for.
    pub report_validity: Duration,
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
    pub(crate) watch: WatchState,
    pub(crate) fabrics: BTreeMap<FabricName, FabricView>,
    pub(crate) reports: ReportTable,
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

/// How far a planned stop is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopPhase {
    /// None was asked for.
    Running,
    /// Unready, but still accepting.
    Noticing { accept_until: ClockTime },
    /// No longer accepting.
    Draining {
        finish_by: ClockTime,
        callers_gone: bool,
    },
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
        Self {
            ledger: LedgerState::new(LedgerSettings::default(), node.clone(), process, seed),
            node,
            domain,
            times,
            seed,
            watch: WatchState::new(times.watch),
            fabrics: BTreeMap::new(),
            reports: ReportTable::new(),
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
