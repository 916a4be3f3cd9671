//! What one controller knows.

use std::collections::BTreeMap;

use base::prelude::*;
use document::ConfigState;
use groups::{FabricState, GroupSettings};
use platform::{DrainList, HostEntry};

/// Spans that the controller goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerTimes {
    /// Interval between two questions to the same host.
    pub poll_interval: Duration,
    /// Interval between two reads of the same list.
    pub read_interval: Duration,
    /// Longest wait of a watch.
    pub watch_span: Duration,
    /// Longest time that a stop waits for leases to be given back.
    pub release_limit: Duration,
}

/// Decision state of one controller.
#[derive(Debug)]
pub struct ControllerState {
    pub(crate) node: NodeName,
    pub(crate) domain: DomainName,
    pub(crate) process: u64,
    pub(crate) seed: u64,
    pub(crate) times: ControllerTimes,
    pub(crate) settings: GroupSettings,
    pub(crate) config: ConfigState,
    pub(crate) hosts: BTreeMap<HostName, HostEntry>,
    pub(crate) drains: DrainList,
    pub(crate) fabrics: BTreeMap<FabricName, FabricState>,
    pub(crate) polls: PollTimers,
    pub(crate) stop: StopPhase,
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
    /// Gives its leases back.
    Releasing { finish_by: ClockTime },
    /// Nothing is left to do.
    Finished,
}

impl ControllerState {
    /// Controller that knows nothing yet.
    ///
    /// `process` must differ at every start of the node.
    pub fn new(
        node: NodeName,
        domain: DomainName,
        times: ControllerTimes,
        settings: GroupSettings,
        process: u64,
        seed: u64,
    ) -> Self {
        let start = DueTimer::at(ClockTime::default());
        Self {
            node,
            domain,
            process,
            seed,
            times,
            settings,
            config: ConfigState::default(),
            hosts: BTreeMap::new(),
            drains: DrainList::default(),
            fabrics: BTreeMap::new(),
            polls: PollTimers {
                document: start,
                good_sections: DueTimer::default(),
                fabrics: start,
                hosts: start,
                drains: start,
                reports: BTreeMap::new(),
            },
            stop: StopPhase::Running,
        }
    }

    /// Decision state of a fabric domain, made when it is first heard of.
    pub(crate) fn fabric_of(&mut self, fabric: &FabricName) -> &mut FabricState {
        let Self {
            fabrics,
            node,
            process,
            settings,
            seed,
            ..
        } = self;
        fabrics.entry(fabric.clone()).or_insert_with(|| {
            let settings = settings.clone();
            FabricState::new(fabric.clone(), node.clone(), *process, settings, *seed)
        })
    }
}
