//! Fake model engine.

use base::prelude::*;
use groups::{HostAssignment, HostOrder, HostReport, LoadReport, MemberPhase};

/// Engine of one host.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    pub host: HostName,
    pub incarnation: HostIncarnation,
    pub assignment: Option<HostAssignment>,
    pub model: Option<ModelName>,
    pub ready_at: ClockTime,
    pub load: LoadReport,
    /// Whether it sends reports and accepts orders.
    pub up: bool,
    /// Whether it reports that it is leaving.
    pub leaving: bool,
    pub checks_fencing: bool,
    pub refused: usize,
    token: FencingToken,
    load_duration: Duration,
}

impl FakeEngine {
    pub fn new(host: &HostName, checks_fencing: bool, load_duration: Duration) -> Self {
        Self {
            host: host.clone(),
            incarnation: HostIncarnation(1),
            assignment: None,
            model: None,
            ready_at: ClockTime::default(),
            load: LoadReport::default(),
            up: true,
            leaving: false,
            checks_fencing,
            refused: 0,
            token: FencingToken::default(),
            load_duration,
        }
    }

    /// Restarts with a new incarnation at the same address.
    pub fn restart(&mut self) {
        self.incarnation = self.incarnation.next();
        self.assignment = None;
        self.model = None;
        self.load = LoadReport::default();
        self.up = true;
    }

    pub fn report(&self, now: ClockTime) -> HostReport {
        let phase = match (&self.model, self.ready_at <= now) {
            _ if self.leaving => MemberPhase::Leaving,
            (None, _) => MemberPhase::Idle,
            (Some(_), false) => MemberPhase::Loading,
            (Some(_), true) => MemberPhase::Ready,
        };
        HostReport {
            host: self.host.clone(),
            incarnation: self.incarnation,
            assignment: self.assignment.clone(),
            phase,
            model: self.model.clone(),
            load: self.load,
        }
    }

    pub fn receive(&mut self, order: &HostOrder, now: ClockTime) {
        let (incarnation, token) = match order {
            HostOrder::Join(join) => (join.incarnation, join.token),
            HostOrder::Standby {
                incarnation, token, ..
            }
            | HostOrder::Idle { incarnation, token } => (*incarnation, *token),
        };
        let fenced = self.checks_fencing && token < self.token;
        if !self.up || incarnation != self.incarnation || fenced {
            self.refused += 1;
            return;
        }
        self.token = self.token.max(token);
        match order {
            HostOrder::Idle { .. } => self.assignment = None,
            HostOrder::Standby { model, .. } => {
                self.assignment = None;
                self.start_load(model, now);
            }
            HostOrder::Join(join) => {
                self.assignment = Some(HostAssignment {
                    group: join.group.clone(),
                    epoch: join.epoch,
                    rank: join.rank,
                });
                self.start_load(&join.model, now);
            }
        }
    }

    fn start_load(&mut self, model: &ModelName, now: ClockTime) {
        if self.model.as_ref() != Some(model) {
            self.model = Some(model.clone());
            self.ready_at = now + self.load_duration;
        }
    }
}
