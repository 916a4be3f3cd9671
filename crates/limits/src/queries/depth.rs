//! Lengths of queues.

use base::prelude::*;

use crate::AdmissionState;

/// Calls of one workspace at one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueDepth {
    /// Service that is called.
    pub service: ServiceName,
    /// Workspace that calls.
    pub workspace: WorkspaceName,
    /// Calls running.
    pub running: usize,
    /// Calls waiting.
    pub waiting: usize,
}

/// Running and waiting calls of every workspace at every service.
pub fn queue_depths(state: &AdmissionState) -> Vec<QueueDepth> {
    let services = state.services.iter();
    let depths = services.flat_map(|(service, queue)| {
        queue.workspaces.iter().map(|(workspace, own)| QueueDepth {
            service: service.clone(),
            workspace: workspace.clone(),
            running: own.running,
            waiting: own.depth(),
        })
    });
    depths.collect()
}

/// Calls of a service that are running.
pub fn count_running(state: &AdmissionState, service: &ServiceName) -> usize {
    state.services.get(service).map_or(0, |queue| queue.running)
}

/// Calls that a workspace may have waiting at one service.
pub fn queue_bound(state: &AdmissionState, workspace: &WorkspaceName) -> usize {
    let weight = u64::from(state.weight(workspace));
    let bound = state.settings.queue_limit as u64 * weight / u64::from(state.total_share());
    usize::try_from(bound).unwrap_or(usize::MAX).max(1)
}
