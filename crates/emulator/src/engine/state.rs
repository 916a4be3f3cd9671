//! State of an engine, as changed by orders.

use base::prelude::*;
use groups::{HostAssignment, HostReport, LoadReport, MemberPhase};

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Group to be a member of; `None` removes the engine from its group.
    pub assignment: Option<HostAssignment>,
    /// Model to load; `None` keeps the loaded model.
    pub model: Option<ModelName>,
    /// Incarnation of the engine that the order is for.
    pub incarnation: HostIncarnation,
    /// Fencing token of the sender's lease.
    pub token: FencingToken,
}

/// Whether an engine accepted an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderVerdict {
    /// The order was applied.
    Accepted,
    /// The engine has seen a newer fencing token.
    Fenced,
    /// The order is for another incarnation of the engine.
    Restarted,
}

/// State of one engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    host: HostName,
    incarnation: HostIncarnation,
    checks_fencing: bool,
    newest_token: FencingToken,
    assignment: Option<HostAssignment>,
    model: Option<ModelName>,
    ready_at: ClockTime,
    running: u32,
    leaving: bool,
}

impl EngineState {
    /// State of an engine that has just started.
    pub fn new(host: HostName, incarnation: HostIncarnation, checks_fencing: bool) -> Self {
        Self {
            host,
            incarnation,
            checks_fencing,
            newest_token: FencingToken::default(),
            assignment: None,
            model: None,
            ready_at: ClockTime::default(),
            running: 0,
            leaving: false,
        }
    }

    /// Applies or refuses an order; a new model is loading until `loaded_at`.
    pub fn apply_order(&mut self, order: EngineOrder, loaded_at: ClockTime) -> OrderVerdict {
        if order.incarnation != self.incarnation {
            return OrderVerdict::Restarted;
        }
        if self.checks_fencing && order.token < self.newest_token {
            return OrderVerdict::Fenced;
        }
        self.newest_token = self.newest_token.max(order.token);
        self.assignment = order.assignment;
        if order.model.is_some() && order.model != self.model {
            self.ready_at = loaded_at;
            self.model = order.model;
        }
        OrderVerdict::Accepted
    }

    /// Whether the engine is ready as a member of this epoch of this group.
    pub fn is_member(&self, group: &str, epoch: &str, now: ClockTime) -> bool {
        let Some(assignment) = &self.assignment else {
            return false;
        };
        let is_assigned =
            assignment.group.as_str() == group && assignment.epoch.to_string() == epoch;
        is_assigned && self.phase(now) == MemberPhase::Ready
    }

    /// Counts a started stream as running.
    pub fn start_stream(&mut self) {
        self.running += 1;
    }

    /// Removes an ended stream from the running ones.
    pub fn end_stream(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Status report of the engine.
    pub fn report(&self, now: ClockTime) -> HostReport {
        HostReport {
            host: self.host.clone(),
            incarnation: self.incarnation,
            assignment: self.assignment.clone(),
            phase: self.phase(now),
            model: self.model.clone(),
            load: LoadReport {
                running: self.running,
                waiting: 0,
                step_micros: 0,
            },
        }
    }

    /// Marks the engine as leaving: it finishes its calls and accepts no new ones.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    fn phase(&self, now: ClockTime) -> MemberPhase {
        match &self.model {
            _ if self.leaving => MemberPhase::Leaving,
            None => MemberPhase::Idle,
            Some(_) if now < self.ready_at => MemberPhase::Loading,
            Some(_) => MemberPhase::Ready,
        }
    }
}
