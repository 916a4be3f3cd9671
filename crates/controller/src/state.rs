//! What one controller knows.

use std::collections::BTreeMap;

use base::prelude::*;
use groups::{FabricState, GroupSettings};
use watch::{WatchState, WatchTimes};

/// Spans that the controller goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerTimes {
    /// Spans between reads.
    pub watch: WatchTimes,
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
    pub(crate) watch: WatchState,
    pub(crate) fabrics: BTreeMap<FabricName, FabricState>,
    pub(crate) stop: StopPhase,
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
        Self {
            node,
            domain,
            process,
            seed,
            times,
            settings,
            watch: WatchState::new(times.watch),
            fabrics: BTreeMap::new(),
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
