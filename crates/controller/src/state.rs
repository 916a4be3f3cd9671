//! Decision state of one controller.

use std::collections::BTreeMap;

use base::prelude::*;
use groups::{FabricState, GroupSettings};
use watch::{WatchState, WatchTimes};

/// Intervals and timeouts of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerTimes {
    /// Intervals of reads from the store and of polls of hosts.
    pub watch: WatchTimes,
    /// Longest time that a shutdown waits for leases to be released.
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
    pub(crate) shutdown: ShutdownPhase,
}

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShutdownPhase {
    /// No shutdown was requested.
    Running,
    /// Waits until its leases are released.
    Releasing { release_deadline: ClockTime },
    /// The shutdown is complete.
    Finished,
}

impl ControllerState {
    /// Creates a controller without configuration and hosts.
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
            shutdown: ShutdownPhase::Running,
        }
    }

    /// Decision state of a fabric domain, created when first needed.
    pub(crate) fn fabric_mut(&mut self, fabric: &FabricName) -> &mut FabricState {
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
