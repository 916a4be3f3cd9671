//! Several gateways with one store and one fleet, all of them subject to faults.
//!
//! The simulated endpoints record which calls they ran, and every step of a call is
//! checked against that.

mod checks;
mod faults;

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use gateway::{
    AttemptEnd, AttemptNumber, CallArrival, CallStep, GatewayEvent, RunState, SendOrder,
};
use interface::{DrainList, Presence};
use store::MemoryStore;
use watch::{WatchEffect, WatchEvent};

use crate::fleet::{BOOKING_SERVICE, DESK_KEY, ENGINES, Fleet, SERVERS, TABLET_KEY, document};
use crate::harness::{DRAIN_LIMIT, Harness, execute, model_call, not_run, plain_call, recorded};

/// Step of the simulated time.
const TICK: Duration = Duration::from_millis(50);

/// Identifies a call: node, incarnation of its process, and call.
type CallRef = (usize, u64, CallId);

/// One gateway and the events on their way to it.
pub struct Node {
    pub harness: Harness,
    process: u64,
    paused: bool,
    applied_steps: usize,
    mailbox: Vec<(ClockTime, GatewayEvent)>,
    known_leaving: BTreeSet<HostName>,
    /// Instant at which it stopped accepting.
    closed_at: Option<ClockTime>,
}

/// Call as applied_steps by its caller.
struct CallerCall {
    id: CallRef,
    key: Option<(bool, u8)>,
    ended: bool,
    /// The gateway's task has forwarded the whole response and is gone.
    is_answered: bool,
    is_disconnected: bool,
}

/// Attempt on its way to an endpoint or running there.
struct Attempt {
    id: CallRef,
    order: SendOrder,
    run: Option<usize>,
    /// The gateway doesn't receive the outcome any more.
    is_orphaned: bool,
    /// The gateway was told that the stream is silent.
    is_silent: bool,
    /// The gateway forwards nothing of the response.
    is_suspended: bool,
}

pub struct World {
    pub now: ClockTime,
    pub store: MemoryStore,
    pub nodes: Vec<Node>,
    /// Delay of every response of the platform and of the hosts.
    pub response_delay: Duration,
    pub reports_lost: bool,
    fleet: Fleet,
    drains: DrainList,
    responsive_engines: [bool; ENGINES.len()],
    incomplete_since: BTreeMap<GroupEpoch, ClockTime>,
    leaving_since: Option<ClockTime>,
    caller_calls: Vec<CallerCall>,
    attempts: Vec<Attempt>,
    runs: Vec<(CallRef, Option<(bool, u8)>)>,
    pub ended_calls: usize,
}

impl World {
    pub fn new(nodes: usize) -> Self {
        let store = MemoryStore::default();
        let mut world = Self {
            now: ClockTime::from_millis(50_000),
            nodes: Vec::new(),
            response_delay: Duration::ZERO,
            reports_lost: false,
            fleet: Fleet::healthy(),
            drains: DrainList::default(),
            responsive_engines: [true; ENGINES.len()],
            incomplete_since: BTreeMap::new(),
            leaving_since: None,
            caller_calls: Vec::new(),
            attempts: Vec::new(),
            runs: Vec::new(),
            ended_calls: 0,
            store,
        };
        for index in 0..nodes {
            let node = world.start(index, 1);
            world.nodes.push(node);
        }
        world.advance(Duration::from_secs(1));
        world
    }

    fn start(&self, index: usize, process: u64) -> Node {
        let node_name = format!("entry-{index}");
        let mut harness = Harness::with_store(self.store.clone(), &node_name, process);
        harness.now = self.now;
        Node {
            harness,
            process,
            paused: false,
            applied_steps: 0,
            mailbox: Vec::new(),
            known_leaving: BTreeSet::new(),
            closed_at: None,
        }
    }

    /// Advances the simulated time and processes everything that is due.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TICK;
            self.store.advance(TICK);
            self.end_late_attempts();
            for node in 0..self.nodes.len() {
                self.run_node(node);
            }
        }
    }

    fn run_node(&mut self, node: usize) {
        if self.nodes[node].paused {
            return;
        }
        let now = self.now;
        let is_due = |(due, _): &(ClockTime, GatewayEvent)| *due <= now;
        while let Some(at) = self.nodes[node].mailbox.iter().position(is_due) {
            let (_, event) = self.nodes[node].mailbox.remove(at);
            self.handle(node, event);
        }
        let harness = &mut self.nodes[node].harness;
        harness.now = now;
        harness.advance(Duration::ZERO);
        self.execute_effects(node);
        self.restart_finished(node);
    }

    fn handle(&mut self, node: usize, event: GatewayEvent) {
        self.record_leaving(node, &event);
        let harness = &mut self.nodes[node].harness;
        harness.now = self.now;
        harness.handle(event);
        self.execute_effects(node);
    }

    fn record_leaving(&mut self, node: usize, event: &GatewayEvent) {
        let known_leaving = &mut self.nodes[node].known_leaving;
        if let GatewayEvent::Watch(WatchEvent::HostsRead(Some(hosts))) = event {
            let leaving = hosts
                .iter()
                .filter(|entry| entry.presence == Presence::Leaving);
            *known_leaving = leaving.map(|entry| entry.host.clone()).collect();
        }
    }

    /// Delivers an event to a node, at once or when its pause ends.
    fn deliver(&mut self, node: usize, event: GatewayEvent) {
        if self.nodes[node].paused {
            self.nodes[node].mailbox.push((self.now, event));
        } else {
            self.handle(node, event);
        }
    }

    /// Executes the effects that a node returned.
    fn execute_effects(&mut self, node: usize) {
        let due = self.now + self.response_delay;
        let harness = &mut self.nodes[node].harness;
        let ledger_operations = std::mem::take(&mut harness.ledger_operations);
        let reads = std::mem::take(&mut harness.reads);
        for operation in ledger_operations {
            let reply = execute(&self.store, operation);
            self.nodes[node].mailbox.push((due, reply));
        }
        for read in reads {
            self.read(node, read);
        }
        while let Some((call, step)) = self.next_step(node) {
            self.apply_step(node, call, step);
        }
    }

    fn next_step(&mut self, node: usize) -> Option<(CallId, CallStep)> {
        let node = &mut self.nodes[node];
        let step = node.harness.steps.get(node.applied_steps).cloned()?;
        node.applied_steps += 1;
        Some(step)
    }

    fn read(&mut self, node: usize, read: WatchEffect) {
        let mut due = self.now + self.response_delay;
        let event = match read {
            WatchEffect::ReadDocument { after, deadline } => {
                if after != ObjectVersion::default() {
                    due = deadline;
                }
                WatchEvent::DocumentRead(Some((ObjectVersion(1), document())))
            }
            WatchEffect::ReadGoodSections => WatchEvent::GoodSectionsRead(None),
            WatchEffect::ReadFabrics => {
                let records = vec![(self.fleet.record.clone(), self.fleet.version)];
                WatchEvent::FabricsRead(Some(records))
            }
            WatchEffect::ReadHosts => WatchEvent::HostsRead(Some(self.fleet.hosts.clone())),
            WatchEffect::CountGateways => WatchEvent::GatewaysCounted(Some(self.nodes.len())),
            WatchEffect::ReadDrains => WatchEvent::DrainsRead(Some(self.drains.clone())),
            WatchEffect::PollHost { host, .. } => {
                let index = ENGINES.iter().position(|engine| *engine == host.as_str());
                let index = index.expect("only engines are polled");
                let has_report = self.responsive_engines[index] && !self.reports_lost;
                WatchEvent::HostReported {
                    host,
                    polled_at: self.now,
                    report: has_report.then(|| self.fleet.reports[index].clone()),
                }
            }
        };
        let mailbox = &mut self.nodes[node].mailbox;
        mailbox.push((due, GatewayEvent::Watch(event)));
    }

    fn apply_step(&mut self, node: usize, call: CallId, step: CallStep) {
        let id = (node, self.nodes[node].process, call);
        match step {
            CallStep::Send(order) => self.send(id, order),
            CallStep::Abort(number) => self.abort_attempt(id, number),
            CallStep::Suspend(number) => self.suspend(id, number, true),
            CallStep::Resume(number) => self.suspend(id, number, false),
            CallStep::Refuse(refusal) => {
                if matches!(refusal.run, RunState::NotRun(_)) {
                    self.check_not_run(id);
                }
                self.end(id);
                self.abort_all(id);
            }
            CallStep::Respond(response) => {
                let key = self.caller_call(id).key;
                let run = self.runs.iter().position(|(_, other)| *other == key);
                let expected = run.map(|run| recorded(&run.to_string()));
                assert_eq!(
                    expected,
                    Some(response),
                    "{id:?} got the response of another call"
                );
                self.end(id);
            }
            CallStep::Discard => {
                let call = self.caller_call(id);
                assert!(call.is_disconnected && call.key.is_none(), "{id:?}");
                let is_of_call = |attempt: &&mut Attempt| attempt.id == id;
                for attempt in self.attempts.iter_mut().filter(is_of_call) {
                    attempt.is_orphaned = true;
                }
            }
        }
    }

    fn send(&mut self, id: CallRef, order: SendOrder) {
        self.check_endpoint(id, &order);
        let call = self.caller_call(id);
        if call.is_answered {
            return;
        }
        assert!(!call.ended, "{id:?} was sent after it had ended");
        assert_eq!(call.key.is_some(), order.record_response);
        let key = call.key;
        let mut open = self
            .attempts
            .iter()
            .filter(|other| other.id == id && !other.is_orphaned);
        if key.is_some() {
            assert_eq!(open.next().map(|other| other.id), None, "{id:?} runs twice");
        }
        // As in the gateway's task, which may have forwarded an event since the order.
        if open.any(|other| !other.is_silent && !other.is_suspended) {
            return self.report(id, order.attempt, AttemptEnd::NotSent(not_run()));
        }
        self.attempts.push(Attempt {
            id,
            order,
            run: None,
            is_orphaned: false,
            is_silent: false,
            is_suspended: false,
        });
    }

    fn suspend(&mut self, id: CallRef, number: AttemptNumber, is_suspended: bool) {
        if let Some(attempt) = self.open_attempt(id, number) {
            attempt.is_suspended = is_suspended;
        }
    }

    fn open_attempt(&mut self, id: CallRef, number: AttemptNumber) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|attempt| {
            attempt.id == id && attempt.order.attempt == number && !attempt.is_orphaned
        })
    }

    fn caller_call(&mut self, id: CallRef) -> &mut CallerCall {
        let mut calls = self.caller_calls.iter_mut();
        calls
            .find(|call| call.id == id)
            .expect("every step belongs to a started call")
    }

    fn end(&mut self, id: CallRef) {
        let call = self.caller_call(id);
        assert!(!call.ended, "{id:?} ended twice");
        call.ended = true;
        self.ended_calls += 1;
    }

    /// The gateway's task aborts an attempt, which may still reach the endpoint.
    fn abort_attempt(&mut self, id: CallRef, number: AttemptNumber) {
        if let Some(attempt) = self.open_attempt(id, number) {
            attempt.is_orphaned = true;
            self.report(id, number, AttemptEnd::Lost);
        }
    }

    fn abort_all(&mut self, id: CallRef) {
        let attempts = self.attempts.iter();
        let open = attempts.filter(|attempt| attempt.id == id && !attempt.is_orphaned);
        let open: Vec<AttemptNumber> = open.map(|attempt| attempt.order.attempt).collect();
        for number in open {
            self.abort_attempt(id, number);
        }
    }

    fn report(&mut self, id: CallRef, attempt: AttemptNumber, end: AttemptEnd) {
        let call = id.2;
        self.deliver_to(id, GatewayEvent::AttemptEnded { call, attempt, end });
    }

    /// Delivers an event of a call, unless its process has ended.
    fn deliver_to(&mut self, id: CallRef, event: GatewayEvent) {
        let (node, process, _) = id;
        if self.nodes[node].process == process {
            self.deliver(node, event);
        }
    }

    fn end_late_attempts(&mut self) {
        let now = self.now;
        let late = |attempt: &&Attempt| !attempt.is_orphaned && attempt.order.deadline <= now;
        let late: Vec<(CallRef, AttemptNumber)> = self
            .attempts
            .iter()
            .filter(late)
            .map(|attempt| (attempt.id, attempt.order.attempt))
            .collect();
        for (id, number) in late {
            self.abort_attempt(id, number);
        }
    }

    fn restart_finished(&mut self, node: usize) {
        let now = self.now;
        let Node {
            harness,
            closed_at,
            process,
            ..
        } = &mut self.nodes[node];
        if harness.stopped_accepting {
            closed_at.get_or_insert(now);
        }
        if !harness.finished {
            return;
        }
        let process_id = (node, *process);
        let is_interrupted = self
            .attempts
            .iter()
            .any(|attempt| !attempt.is_orphaned && (attempt.id.0, attempt.id.1) == process_id);
        let is_past_limit = closed_at.is_some_and(|at| now.since(at) >= DRAIN_LIMIT);
        assert!(
            is_past_limit || !is_interrupted,
            "node {node} interrupted a call"
        );
        self.crash(node);
    }

    pub fn start_call(&mut self, node: usize, kind: u8, timeout: Duration) {
        if self.nodes[node].harness.stopped_accepting || self.nodes[node].paused {
            return;
        }
        let (arrival, key) = make_call(kind);
        let arrival = CallArrival {
            timeout: Some(timeout),
            ..arrival
        };
        let process = self.nodes[node].process;
        let harness = &mut self.nodes[node].harness;
        harness.now = self.now;
        let id = (node, process, harness.next_call());
        self.caller_calls.push(CallerCall {
            id,
            key,
            ended: false,
            is_answered: false,
            is_disconnected: false,
        });
        self.nodes[node].harness.call(arrival);
        self.execute_effects(node);
    }

    pub fn disconnect_caller(&mut self, at: usize) {
        let mut open = self.caller_calls.iter_mut().filter(|call| !call.ended);
        let Some(call) = open.nth(at).filter(|call| !call.is_disconnected) else {
            return;
        };
        call.is_disconnected = true;
        let id = call.id;
        self.deliver_to(id, GatewayEvent::CallerDisconnected { call: id.2 });
    }

    /// An attempt reaches its endpoint, which may refuse to run it.
    pub fn deliver_attempt(&mut self, at: usize) {
        let Some(attempt) = self.attempts.get(at).filter(|it| it.run.is_none()) else {
            return;
        };
        let id = attempt.id;
        let number = attempt.order.attempt;
        if let Some(generation) = &attempt.order.generation {
            let is_current = generation.epoch == self.fleet.record.groups[0].epoch;
            if !is_current || !self.responsive_engines[0] {
                let is_orphaned = self.attempts.remove(at).is_orphaned;
                if !is_orphaned {
                    self.report(id, number, AttemptEnd::NotSent(not_run()));
                }
                return;
            }
        }
        let key = self.caller_call(id).key;
        let has_run = self.runs.iter().any(|(_, other)| *other == key);
        assert!(key.is_none() || !has_run, "{key:?} ran twice");
        self.attempts[at].run = Some(self.runs.len());
        self.runs.push((id, key));
    }

    /// Ends an attempt. If `answered` is set, it gets a response, or ends as not sent
    /// if it hasn't reached its endpoint; otherwise it is lost. An orphaned attempt is
    /// only removed, once it was run.
    pub fn end_attempt(&mut self, at: usize, answered: bool) {
        if at >= self.attempts.len() {
            return;
        }
        let Attempt {
            id,
            run,
            is_orphaned,
            ..
        } = self.attempts[at];
        let is_recorded = self.attempts[at].order.record_response;
        let number = self.attempts[at].order.attempt;
        if answered && self.attempts[at].is_suspended {
            return;
        }
        if is_orphaned {
            if run.is_some() {
                self.attempts.remove(at);
            }
            return;
        }
        match run {
            None if !answered => self.abort_attempt(id, number),
            None => {
                self.attempts.remove(at);
                self.report(id, number, AttemptEnd::NotSent(not_run()));
            }
            Some(_) if !answered => {
                self.attempts.remove(at);
                self.report(id, number, AttemptEnd::Lost);
            }
            Some(run) if is_recorded => {
                self.attempts.remove(at);
                let response = recorded(&run.to_string());
                self.report(id, number, AttemptEnd::Recorded(response));
            }
            Some(_) => {
                self.check_forwarding(at);
                self.attempts.remove(at);
                self.end(id);
                self.caller_call(id).is_answered = true;
                self.report(id, number, AttemptEnd::Answered);
                self.orphan_attempts(id);
            }
        }
    }

    /// The gateway's task drops the open attempts of a call that has ended.
    fn orphan_attempts(&mut self, id: CallRef) {
        let attempts = self.attempts.iter_mut();
        for attempt in attempts.filter(|attempt| attempt.id == id) {
            attempt.is_orphaned = true;
        }
    }

    /// The stream of an attempt that runs has no event for the silence limit.
    pub fn silence_attempt(&mut self, at: usize) {
        let Some(attempt) = self.attempts.get_mut(at) else {
            return;
        };
        let is_read = !attempt.is_orphaned && !attempt.is_suspended;
        if !is_read || attempt.run.is_none() || attempt.order.record_response {
            return;
        }
        attempt.is_silent = true;
        let (id, attempt) = (attempt.id, attempt.order.attempt);
        let call = id.2;
        self.deliver_to(id, GatewayEvent::AttemptSilent { call, attempt });
    }

    /// An attempt that runs has an event, which ends the call's other attempts.
    pub fn continue_attempt(&mut self, at: usize) {
        let Some(attempt) = self.attempts.get_mut(at) else {
            return;
        };
        let is_read = !attempt.is_orphaned && !attempt.is_suspended;
        if !is_read || attempt.run.is_none() || attempt.order.record_response {
            return;
        }
        attempt.is_silent = false;
        let (id, number) = (attempt.id, attempt.order.attempt);
        self.check_forwarding(at);
        let attempts = self.attempts.iter();
        let others = attempts
            .filter(|other| other.id == id && other.order.attempt != number && !other.is_orphaned);
        let others: Vec<AttemptNumber> = others.map(|other| other.order.attempt).collect();
        let (call, attempt) = (id.2, number);
        self.deliver_to(id, GatewayEvent::AttemptProgressed { call, attempt });
        for other in others {
            self.abort_attempt(id, other);
        }
    }

    /// Closes the callers' connections to a node that shuts down, once all its calls
    /// have ended.
    pub fn close_connections(&mut self, node: usize) {
        let process = self.nodes[node].process;
        let open = |call: &CallerCall| {
            (call.id.0, call.id.1) == (node, process) && !call.ended && !call.is_disconnected
        };
        if self.nodes[node].harness.stopped_accepting && !self.caller_calls.iter().any(open) {
            self.deliver(node, GatewayEvent::CallersDisconnected);
        }
    }

    /// Repairs all faults.
    pub fn repair_all(&mut self) {
        self.store.set_down(false);
        self.store.inject_update_faults([]);
        self.response_delay = Duration::ZERO;
        self.reports_lost = false;
        for index in 0..SERVERS.len() {
            self.list_server(index, Presence::Live);
        }
        for node in 0..self.nodes.len() {
            self.resume(node);
        }
        self.repair_group();
    }

    /// Runs and answers all attempts for a while.
    pub fn serve_all(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            for at in (0..self.attempts.len()).rev() {
                self.deliver_attempt(at);
                self.end_attempt(at, true);
            }
            self.advance(TICK);
        }
    }
}

fn make_call(kind: u8) -> (CallArrival, Option<(bool, u8)>) {
    match kind {
        0 => (model_call(), None),
        1 => (
            plain_call(DESK_KEY, BOOKING_SERVICE, "GET /bookings", None),
            None,
        ),
        _ => {
            let (is_tablet, number) = (kind.is_multiple_of(2), kind / 2);
            let caller = if is_tablet { TABLET_KEY } else { DESK_KEY };
            let key = format!("k{number}");
            let call = plain_call(caller, BOOKING_SERVICE, "POST /charges", Some(&key));
            (call, Some((is_tablet, number)))
        }
    }
}
