//! Status of a controller for operators.

use base::prelude::*;
use document::ConfigState;
use document::queries::is_resolved;
use groups::{GroupHealth, check_groups, stranded_hosts};

use crate::ControllerState;
use crate::state::ShutdownPhase;

/// Status of a controller.
#[derive(Clone, Debug)]
pub struct ControllerStatus {
    /// Name of the node.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Whether its configuration is resolved and no shutdown has begun.
    pub ready: bool,
    /// Configuration in force and its rejected sections.
    pub config: ConfigState,
    /// Fabric domains that the controller owns.
    pub fabrics: Vec<FabricStatus>,
}

/// Status of a fabric domain as known to its owner.
#[derive(Clone, Debug)]
pub struct FabricStatus {
    /// Name of the fabric domain.
    pub fabric: FabricName,
    /// Groups of the fabric domain.
    pub groups: Vec<GroupHealth>,
    /// Healthy hosts that belong to no complete group.
    pub stranded: Vec<HostName>,
}

/// Current status of the controller.
pub fn controller_status(state: &ControllerState, now: ClockTime) -> ControllerStatus {
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
        ready: is_resolved(&state.watch.config) && state.shutdown == ShutdownPhase::Running,
        config: state.watch.config.clone(),
        fabrics: fabrics.collect(),
    }
}
