//! What an engine was ordered to be.

use base::prelude::*;
use groups::{HostAssignment, HostReport, LoadReport, MemberPhase};

/// Order as the engine reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Group to join; without one the engine belongs to none.
    pub assignment: Option<HostAssignment>,
    /// Model to load; without one the engine keeps what it has.
    pub model: Option<ModelName>,
    /// Run of the engine that is meant.
    pub incarnation: HostIncarnation,
    /// Fencing token of the orderer's lease.
    pub token: FencingToken,
}

/// Whether an engine took an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderVerdict {
    /// It did.
    Taken,
    /// It has seen a newer fencing token.
    Fenced,
    /// Another run of the engine was meant.
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
    /// Engine that has just started.
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

    /// Takes or refuses an order; a new model loads until `loaded_at`.
    pub fn take_order(&mut self, order: EngineOrder, loaded_at: ClockTime) -> OrderVerdict {
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
        OrderVerdict::Taken
    }

    /// Whether it is ready as a member of this generation of this group.
    pub fn is_member(&self, group: &str, epoch: &str, now: ClockTime) -> bool {
        let Some(assignment) = &self.assignment else {
            return false;
        };
        let same = assignment.group.as_str() == group && assignment.epoch.to_string() == epoch;
        same && self.phase(now) == MemberPhase::Ready
    }

    /// Counts a stream that starts.
    pub fn start_stream(&mut self) {
        self.running += 1;
    }

    /// Counts a stream that ended.
    pub fn end_stream(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// What it says of itself.
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

    /// Makes it finish its calls and take no new work.
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
