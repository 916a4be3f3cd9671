//! How a controller is, for its operators.

use base::prelude::*;
use document::ConfigState;
use document::queries::is_resolved;
use groups::{GroupHealth, check_groups, stranded_hosts};

use crate::ControllerState;
use crate::state::StopPhase;

/// How a controller is.
#[derive(Clone, Debug)]
pub struct ControllerStatus {
    /// Its node.
    pub node: NodeName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it takes part.
    pub ready: bool,
    /// Configuration in force and what is held back of it.
    pub config: ConfigState,
    /// Fabric domains that it owns.
    pub fabrics: Vec<FabricStatus>,
}

/// How a controller sees a fabric domain that it owns.
#[derive(Clone, Debug)]
pub struct FabricStatus {
    /// The fabric domain.
    pub fabric: FabricName,
    /// Its groups.
    pub groups: Vec<GroupHealth>,
    /// Healthy hosts that belong to no complete group.
    pub stranded: Vec<HostName>,
}

/// How the controller is.
pub fn describe(state: &ControllerState, now: ClockTime) -> ControllerStatus {
    let owned = state
        .fabrics
        .values()
        .filter(|fabric| fabric.holds_lease(now));
    let fabrics = owned.map(|fabric| FabricStatus {
        fabric: fabric.record().fabric.clone(),
        groups: check_groups([fabric.record()], fabric.reports(), now),
        stranded: stranded_hosts(fabric.record(), fabric.hosts(), fabric.reports(), now),
    });
    ControllerStatus {
        node: state.node.clone(),
        domain: state.domain.clone(),
        ready: is_resolved(&state.watch.config) && state.stop == StopPhase::Running,
        config: state.watch.config.clone(),
        fabrics: fabrics.collect(),
    }
}
