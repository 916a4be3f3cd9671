//! Decision state of one gateway.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use base::prelude::*;
use groups::{FabricRecord, ReportTable};
use ledger::{LedgerSettings, LedgerState};
use limits::{AdmissionState, BudgetSettings, LimitSettings, RetryBudget};
use members::PeerState;
use rand::SeedableRng;
use rand::rngs::StdRng;
use routing::{RouteSettings, RoutingState};
use watch::{WatchState, WatchTimes};

use crate::call::{CallHold, CallState};
use crate::peers::PeerLayer;

/// Intervals and timeouts of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayTimes {
    /// Intervals of reads from the store and of polls of hosts.
    pub watch: WatchTimes,
    /// How long a host's report is valid, counted from the start of the poll.
    pub report_validity: Duration,
    /// Time for which connections are still accepted after a shutdown request,
    /// so that load balancers notice that the gateway isn't ready.
    pub balancer_notice: Duration,
    /// Longest time that a shutdown waits for calls in flight.
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
    pub(crate) fabrics: BTreeMap<FabricName, VersionedFabric>,
    pub(crate) reports: ReportTable,
    pub(crate) admission: AdmissionState,
    pub(crate) routes: BTreeMap<ServiceName, RoutingState>,
    pub(crate) budget: RetryBudget,
    pub(crate) ledger: LedgerState,
    pub(crate) calls: HashMap<CallId, CallState>,
    /// Calls all of whose attempts are silent or suspended.
    pub(crate) held: BTreeMap<CallId, CallHold>,
    pub(crate) shutdown: ShutdownPhase,
    pub(crate) peers: Option<PeerLayer>,
}

/// Last known record of a fabric domain and its version in the store.
#[derive(Clone, Debug)]
pub(crate) struct VersionedFabric {
    pub version: ObjectVersion,
    pub record: FabricRecord,
}

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShutdownPhase {
    /// No shutdown was requested.
    Running,
    /// Not ready any more, but still accepting connections.
    NotReady { accept_until: ClockTime },
    /// Accepts no connections; waits for the calls in flight.
    Draining {
        drain_deadline: ClockTime,
        callers_disconnected: bool,
    },
    /// The shutdown is complete.
    Finished,
}

impl GatewayState {
    /// Creates a gateway without configuration, hosts and calls.
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
            held: BTreeMap::new(),
            shutdown: ShutdownPhase::Running,
            peers: None,
        }
    }

    /// Adds a peer layer, which exchanges store contents with other gateways
    /// and joins them through `seeds`.
    pub fn with_peers(self, peers: PeerState, seeds: Vec<SocketAddr>) -> Self {
        Self {
            peers: Some(PeerLayer::new(peers, seeds)),
            ..self
        }
    }

    /// Routing state of a service, created when first needed.
    pub(crate) fn route_mut(&mut self, service: &ServiceName) -> &mut RoutingState {
        let seed = self.seed;
        self.routes.entry(service.clone()).or_insert_with(|| {
            RoutingState::new(RouteSettings::default(), StdRng::seed_from_u64(seed))
        })
    }
}
