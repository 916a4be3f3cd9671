//! Admission state: slots, running calls and queues of one node.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use base::prelude::*;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::{AdmissionRequest, CallPriority, LimitSettings};

/// Limits of a workspace on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkspaceLimits {
    /// Weight of the workspace in fair queueing.
    pub share: u32,
    /// Largest number of running calls, over all services.
    pub call_limit: usize,
}

/// Running and waiting calls of one node.
#[derive(Debug)]
pub struct AdmissionState {
    pub(crate) settings: LimitSettings,
    pub(crate) rng: StdRng,
    /// Random offset from 0 to 1, added to the node's part of the slots before it is rounded down.
    pub(crate) rounding: f64,
    pub(crate) workspaces: BTreeMap<WorkspaceName, WorkspaceLimits>,
    pub(crate) services: BTreeMap<ServiceName, ServiceQueue>,
    pub(crate) calls: HashMap<CallId, CallState>,
    /// Deadlines of the waiting calls.
    pub(crate) deadlines: BTreeSet<(ClockTime, CallId)>,
}

#[derive(Clone, Debug)]
pub(crate) struct CallState {
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
    /// Start tag of the call that was started last.
    pub(crate) virtual_time: f64,
    /// Moving average of call durations, in seconds.
    pub(crate) mean_call_secs: f64,
    pub(crate) workspaces: BTreeMap<WorkspaceName, WorkspaceQueue>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct WorkspaceQueue {
    pub(crate) running: usize,
    /// Start tag of the workspace's last started call plus its cost divided by the weight; raised
    /// to the virtual time when a call joins the empty queue.
    pub(crate) finish_tag: f64,
    /// Waiting calls by priority.
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

    /// Sum of the shares of all workspaces, at least 1.
    pub(crate) fn total_share(&self) -> u32 {
        let shares = self.workspaces.values().map(|limits| limits.share);
        shares.sum::<u32>().max(1)
    }

    /// Weight of a workspace in fair queueing, at least 1.
    pub(crate) fn weight(&self, workspace: &WorkspaceName) -> u32 {
        let limits = self.workspaces.get(workspace);
        limits.map_or(1, |limits| limits.share.max(1))
    }

    /// Number of running calls of a workspace, over all services.
    pub(crate) fn running(&self, workspace: &WorkspaceName) -> usize {
        let queues = self
            .services
            .values()
            .filter_map(|queue| queue.workspaces.get(workspace));
        queues.map(|queue| queue.running).sum()
    }
}

impl ServiceQueue {
    /// Queue of a service without slots; `mean_call_secs` is the assumed duration of
    /// calls until the first one has ended.
    pub(crate) fn new(mean_call_secs: f64) -> Self {
        Self {
            slots: 0,
            running: 0,
            virtual_time: 0.0,
            mean_call_secs,
            workspaces: BTreeMap::new(),
        }
    }

    /// Number of waiting calls.
    pub(crate) fn depth(&self) -> usize {
        self.workspaces.values().map(WorkspaceQueue::depth).sum()
    }
}

impl WorkspaceQueue {
    /// Number of waiting calls.
    pub(crate) fn depth(&self) -> usize {
        self.lanes.values().map(VecDeque::len).sum()
    }

    /// Number of waiting calls that go before a new call of this priority.
    pub(crate) fn depth_before(&self, priority: CallPriority) -> usize {
        self.lanes
            .range(priority..)
            .map(|(_, lane)| lane.len())
            .sum()
    }

    /// Next call to start.
    pub(crate) fn front(&self) -> Option<CallId> {
        self.lanes
            .values()
            .rev()
            .find_map(|lane| lane.front().copied())
    }

    /// Last call of the lowest priority that is below the given one.
    pub(crate) fn last_below(&self, priority: CallPriority) -> Option<CallId> {
        let mut lower = self.lanes.range(..priority);
        lower.find_map(|(_, lane)| lane.back().copied())
    }

    /// Removes a call from any position.
    pub(crate) fn remove(&mut self, priority: CallPriority, call: CallId) {
        if let Some(lane) = self.lanes.get_mut(&priority) {
            lane.retain(|&other| other != call);
        }
    }
}
