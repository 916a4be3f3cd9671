//! Slots, running calls and queues of one node.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use base::prelude::*;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::{AdmissionRequest, CallPriority, LimitSettings};

/// Share and call limit of a workspace on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkspaceLimits {
    /// Weight of its fair share.
    pub share: u32,
    /// Calls it may have running at once, over all services.
    pub call_limit: usize,
}

/// Calls running and waiting on one node.
#[derive(Debug)]
pub struct AdmissionState {
    pub(crate) settings: LimitSettings,
    pub(crate) rng: StdRng,
    pub(crate) rounding: f64,
    pub(crate) workspaces: BTreeMap<WorkspaceName, WorkspaceLimits>,
    pub(crate) services: BTreeMap<ServiceName, ServiceQueue>,
    pub(crate) calls: HashMap<CallId, CallRecord>,
    pub(crate) deadlines: BTreeSet<(ClockTime, CallId)>,
}

#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) request: AdmissionRequest,
    pub(crate) phase: CallPhase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallPhase {
    Queued,
    Running { started: ClockTime },
}

#[derive(Clone, Debug)]
pub(crate) struct ServiceQueue {
    pub(crate) slots: usize,
    pub(crate) running: usize,
    pub(crate) virtual_time: f64,
    pub(crate) hold_secs: f64,
    pub(crate) workspaces: BTreeMap<WorkspaceName, WorkspaceQueue>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct WorkspaceQueue {
    pub(crate) running: usize,
    pub(crate) finish_tag: f64,
    pub(crate) lanes: BTreeMap<CallPriority, VecDeque<CallId>>,
}

impl AdmissionState {
    /// State without services, workspaces or calls.
    pub fn new(settings: LimitSettings, mut rng: StdRng) -> Self {
        Self {
            settings,
            rounding: rng.random_range(0.0..1.0),
            rng,
            workspaces: BTreeMap::new(),
            services: BTreeMap::new(),
            calls: HashMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Sum of all workspaces' shares.
    pub(crate) fn total_share(&self) -> u32 {
        let shares = self.workspaces.values().map(|limit| limit.share);
        shares.sum::<u32>().max(1)
    }

    /// Weight of one workspace's fair share.
    pub(crate) fn weight(&self, workspace: &WorkspaceName) -> u32 {
        let limit = self.workspaces.get(workspace);
        limit.map_or(1, |limit| limit.share.max(1))
    }

    /// Calls of one workspace that are running, over all services.
    pub(crate) fn running(&self, workspace: &WorkspaceName) -> usize {
        let queues = self
            .services
            .values()
            .filter_map(|queue| queue.workspaces.get(workspace));
        queues.map(|own| own.running).sum()
    }
}

impl ServiceQueue {
    /// Queue of a service whose calls are assumed so long at first.
    pub(crate) fn new(hold_secs: f64) -> Self {
        Self {
            slots: 0,
            running: 0,
            virtual_time: 0.0,
            hold_secs,
            workspaces: BTreeMap::new(),
        }
    }

    /// Calls waiting.
    pub(crate) fn depth(&self) -> usize {
        self.workspaces.values().map(WorkspaceQueue::depth).sum()
    }
}

impl WorkspaceQueue {
    /// Calls waiting.
    pub(crate) fn depth(&self) -> usize {
        self.lanes.values().map(VecDeque::len).sum()
    }

    /// Calls waiting that go before a newcomer of a priority.
    pub(crate) fn depth_before(&self, priority: CallPriority) -> usize {
        self.lanes
            .range(priority..)
            .map(|(_, lane)| lane.len())
            .sum()
    }

    /// Call that goes next.
    pub(crate) fn front(&self) -> Option<CallId> {
        self.lanes
            .values()
            .rev()
            .find_map(|lane| lane.front().copied())
    }

    /// Newest call of the lowest priority below the given one.
    pub(crate) fn last_below(&self, priority: CallPriority) -> Option<CallId> {
        let mut lower = self.lanes.range(..priority);
        lower.find_map(|(_, lane)| lane.back().copied())
    }

    /// Takes a call out, wherever it stands.
    pub(crate) fn remove(&mut self, priority: CallPriority, call: CallId) {
        if let Some(lane) = self.lanes.get_mut(&priority) {
            lane.retain(|&other| other != call);
        }
    }
}
