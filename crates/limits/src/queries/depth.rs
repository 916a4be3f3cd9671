//! Queue depths and limits.

use base::prelude::*;

use crate::AdmissionState;

/// Number of calls of one workspace at one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueDepth {
    /// Name of the service.
    pub service: ServiceName,
    /// Name of the workspace.
    pub workspace: WorkspaceName,
    /// Number of running calls.
    pub running: usize,
    /// Number of waiting calls.
    pub waiting: usize,
}

/// Numbers of calls of every workspace at every service.
pub fn queue_depths(state: &AdmissionState) -> Vec<QueueDepth> {
    let services = state.services.iter();
    let depths = services.flat_map(|(service, queue)| {
        queue
            .workspaces
            .iter()
            .map(|(workspace, workspace_queue)| QueueDepth {
                service: service.clone(),
                workspace: workspace.clone(),
                running: workspace_queue.running,
                waiting: workspace_queue.depth(),
            })
    });
    depths.collect()
}

/// Number of running calls of a service.
pub fn count_running(state: &AdmissionState, service: &ServiceName) -> usize {
    state.services.get(service).map_or(0, |queue| queue.running)
}

/// Largest number of calls of a workspace that may wait at one service.
pub fn queue_bound(state: &AdmissionState, workspace: &WorkspaceName) -> usize {
    let weight = u64::from(state.weight(workspace));
    let bound = state.settings.queue_limit as u64 * weight / u64::from(state.total_share());
    usize::try_from(bound).unwrap_or(usize::MAX).max(1)
}
