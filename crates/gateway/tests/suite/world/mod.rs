//! Several gateways before one store and one fleet, all of them faulty.
//!
//! The endpoints keep a record of their own of what they ran, and every step
//! that a gateway tells a call is held against it.

mod checks;
mod faults;

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use gateway::{AttemptEnd, CallArrival, CallStep, GatewayEvent, RunState, SendOrder};
use interface::{DrainList, Presence};
use store::MemoryStore;
use watch::{WatchEffect, WatchEvent};

use crate::fleet::{BOOKING, DESK, ENGINES, Fleet, SERVERS, TABLET, document};
use crate::harness::{DRAIN_LIMIT, Harness, execute, model_call, plain_call, recorded};

/// Step of the model's time.
const TICK: Duration = Duration::from_millis(50);

/// Attempt at a call: node, run of its process, and call.
type CallName = (usize, u64, CallId);

/// One gateway and what is on its way to it.
pub struct Node {
    pub harness: Harness,
    process: u64,
    paused: bool,
    seen: usize,
    mailbox: Vec<(ClockTime, GatewayEvent)>,
    told_leaving: BTreeSet<HostName>,
    /// When it stopped accepting.
    closed_at: Option<ClockTime>,
}

/// Call as its caller sees it.
struct Asked {
    name: CallName,
    key: Option<(bool, u8)>,
    ended: bool,
    caller_gone: bool,
}

/// Attempt on its way to an endpoint or there.
struct Attempt {
    name: CallName,
    order: SendOrder,
    run: Option<usize>,
    /// The gateway no longer hears how it ends.
    orphan: bool,
}

pub struct World {
    pub now: ClockTime,
    pub store: MemoryStore,
    pub nodes: Vec<Node>,
    /// Delay of every answer of the platform and of the hosts.
    pub lag: Duration,
    pub reports_lost: bool,
    fleet: Fleet,
    drains: DrainList,
    alive: [bool; ENGINES.len()],
    broken_since: BTreeMap<GroupEpoch, ClockTime>,
    leaving_since: Option<ClockTime>,
    asked: Vec<Asked>,
    attempts: Vec<Attempt>,
    runs: Vec<(CallName, Option<(bool, u8)>)>,
    pub ends: usize,
}

impl World {
    pub fn new(nodes: usize) -> Self {
        let store = MemoryStore::default();
        let mut world = Self {
            now: ClockTime::from_millis(50_000),
            nodes: Vec::new(),
            lag: Duration::ZERO,
            reports_lost: false,
            fleet: Fleet::healthy(),
            drains: DrainList::default(),
            alive: [true; ENGINES.len()],
            broken_since: BTreeMap::new(),
            leaving_since: None,
            asked: Vec::new(),
            attempts: Vec::new(),
            runs: Vec::new(),
            ends: 0,
            store,
        };
        for index in 0..nodes {
            let node = world.start(index, 1);
            world.nodes.push(node);
        }
        world.pass(Duration::from_secs(1));
        world
    }

    fn start(&self, index: usize, process: u64) -> Node {
        let name = format!("entry-{index}");
        let mut harness = Harness::before(self.store.clone(), &name, process);
        harness.now = self.now;
        Node {
            harness,
            process,
            paused: false,
            seen: 0,
            mailbox: Vec::new(),
            told_leaving: BTreeSet::new(),
            closed_at: None,
        }
    }

    /// Model's time passes; everything that is due happens.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
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
        harness.pass(Duration::ZERO);
        self.follow(node);
        self.restart_finished(node);
    }

    fn handle(&mut self, node: usize, event: GatewayEvent) {
        self.note_leaving(node, &event);
        let harness = &mut self.nodes[node].harness;
        harness.now = self.now;
        harness.handle(event);
        self.follow(node);
    }

    fn note_leaving(&mut self, node: usize, event: &GatewayEvent) {
        let told = &mut self.nodes[node].told_leaving;
        if let GatewayEvent::Watch(WatchEvent::HostsRead(Some(hosts))) = event {
            let leaving = hosts
                .iter()
                .filter(|entry| entry.presence == Presence::Leaving);
            *told = leaving.map(|entry| entry.host.clone()).collect();
        }
    }

    /// Something happens to a node, at once or when it wakes up.
    fn tell(&mut self, node: usize, event: GatewayEvent) {
        if self.nodes[node].paused {
            self.nodes[node].mailbox.push((self.now, event));
        } else {
            self.handle(node, event);
        }
    }

    /// Carries out what a node wanted done.
    fn follow(&mut self, node: usize) {
        let due = self.now + self.lag;
        let harness = &mut self.nodes[node].harness;
        let requests = std::mem::take(&mut harness.requests);
        let reads = std::mem::take(&mut harness.reads);
        for request in requests {
            let reply = execute(&self.store, request);
            self.nodes[node].mailbox.push((due, reply));
        }
        for read in reads {
            self.read(node, read);
        }
        while let Some((call, step)) = self.next_step(node) {
            self.take_step(node, call, step);
        }
    }

    fn next_step(&mut self, node: usize) -> Option<(CallId, CallStep)> {
        let node = &mut self.nodes[node];
        let step = node.harness.steps.get(node.seen).cloned()?;
        node.seen += 1;
        Some(step)
    }

    fn read(&mut self, node: usize, read: WatchEffect) {
        let mut due = self.now + self.lag;
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
            WatchEffect::ReadNodes => WatchEvent::NodesRead(Some(self.nodes.len())),
            WatchEffect::ReadDrains => WatchEvent::DrainsRead(Some(self.drains.clone())),
            WatchEffect::PollHost { host, .. } => {
                let index = ENGINES.iter().position(|engine| *engine == host.as_str());
                let index = index.expect("only engines are asked");
                let heard = self.alive[index] && !self.reports_lost;
                WatchEvent::HostReported {
                    host,
                    polled_at: self.now,
                    report: heard.then(|| self.fleet.reports[index].clone()),
                }
            }
        };
        let mailbox = &mut self.nodes[node].mailbox;
        mailbox.push((due, GatewayEvent::Watch(event)));
    }

    fn take_step(&mut self, node: usize, call: CallId, step: CallStep) {
        let name = (node, self.nodes[node].process, call);
        match step {
            CallStep::Send(order) => self.send(name, order),
            CallStep::Stop => self.break_off(name),
            CallStep::Refuse(refusal) => {
                if refusal.run == RunState::NotRun {
                    self.check_not_run(name);
                }
                self.end(name);
                self.break_off(name);
            }
            CallStep::Answer(answer) => {
                let key = self.asked_of(name).key;
                let run = self.runs.iter().position(|(_, other)| *other == key);
                let own = run.map(|run| recorded(&run.to_string()));
                assert_eq!(own, Some(answer), "{name:?} got another's answer");
                self.end(name);
            }
            CallStep::Forget => {
                let asked = self.asked_of(name);
                assert!(asked.caller_gone && asked.key.is_none(), "{name:?}");
                let own = |attempt: &&mut Attempt| attempt.name == name;
                for attempt in self.attempts.iter_mut().filter(own) {
                    attempt.orphan = true;
                }
            }
        }
    }

    fn send(&mut self, name: CallName, order: SendOrder) {
        self.check_endpoint(name, &order);
        let asked = self.asked_of(name);
        assert!(!asked.ended, "{name:?} was sent after its end");
        assert_eq!(asked.key.is_some(), order.record);
        let mut own = self.attempts.iter().filter(|other| other.name == name);
        assert!(own.all(|other| other.orphan), "{name:?} is under way twice");
        self.attempts.push(Attempt {
            name,
            order,
            run: None,
            orphan: false,
        });
    }

    fn asked_of(&mut self, name: CallName) -> &mut Asked {
        let mut asked = self.asked.iter_mut();
        asked
            .find(|asked| asked.name == name)
            .expect("steps are for calls")
    }

    fn end(&mut self, name: CallName) {
        let asked = self.asked_of(name);
        assert!(!asked.ended, "{name:?} has two ends");
        asked.ended = true;
        self.ends += 1;
    }

    /// The gateway's task drops an attempt; it may still reach the endpoint.
    fn break_off(&mut self, name: CallName) {
        let mut attempts = self.attempts.iter_mut();
        let own = attempts.find(|attempt| attempt.name == name && !attempt.orphan);
        if let Some(attempt) = own {
            attempt.orphan = true;
            self.report(name, AttemptEnd::Lost);
        }
    }

    fn report(&mut self, name: CallName, end: AttemptEnd) {
        let (node, process, call) = name;
        if self.nodes[node].process == process {
            self.tell(node, GatewayEvent::AttemptEnded { call, end });
        }
    }

    fn end_late_attempts(&mut self) {
        let now = self.now;
        let late = |attempt: &&Attempt| !attempt.orphan && attempt.order.deadline <= now;
        let late: Vec<CallName> = self
            .attempts
            .iter()
            .filter(late)
            .map(|attempt| attempt.name)
            .collect();
        for name in late {
            self.break_off(name);
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
        let own = (node, *process);
        let cut = self
            .attempts
            .iter()
            .any(|attempt| !attempt.orphan && (attempt.name.0, attempt.name.1) == own);
        let waited = closed_at.is_some_and(|at| now.since(at) >= DRAIN_LIMIT);
        assert!(waited || !cut, "node {node} cut a call off");
        self.crash(node);
    }

    pub fn request(&mut self, node: usize, kind: u8, wait: Duration) {
        if self.nodes[node].harness.stopped_accepting || self.nodes[node].paused {
            return;
        }
        let (arrival, key) = make_call(kind);
        let arrival = CallArrival {
            timeout: Some(wait),
            ..arrival
        };
        let process = self.nodes[node].process;
        let harness = &mut self.nodes[node].harness;
        harness.now = self.now;
        let name = (node, process, harness.next_call());
        self.asked.push(Asked {
            name,
            key,
            ended: false,
            caller_gone: false,
        });
        self.nodes[node].harness.call(arrival);
        self.follow(node);
    }

    pub fn leave_caller(&mut self, at: usize) {
        let mut open = self.asked.iter_mut().filter(|asked| !asked.ended);
        let Some(asked) = open.nth(at).filter(|asked| !asked.caller_gone) else {
            return;
        };
        asked.caller_gone = true;
        let name = asked.name;
        self.report(name, AttemptEnd::CallerGone);
    }

    /// An attempt reaches its endpoint, which may refuse to run it.
    pub fn arrive(&mut self, at: usize) {
        let Some(attempt) = self.attempts.get(at).filter(|it| it.run.is_none()) else {
            return;
        };
        let name = attempt.name;
        if let Some(place) = &attempt.order.place {
            let present = place.epoch == self.fleet.record.groups[0].epoch;
            if !present || !self.alive[0] {
                let orphan = self.attempts.remove(at).orphan;
                if !orphan {
                    self.report(name, AttemptEnd::NotSent);
                }
                return;
            }
        }
        let key = self.asked_of(name).key;
        let earlier = self.runs.iter().any(|(_, other)| *other == key);
        assert!(key.is_none() || !earlier, "{key:?} ran twice");
        self.attempts[at].run = Some(self.runs.len());
        self.runs.push((name, key));
    }

    /// An attempt ends: answered if it can be and so wanted, else lost.
    pub fn finish(&mut self, at: usize, answered: bool) {
        if at >= self.attempts.len() {
            return;
        }
        let Attempt {
            name, run, orphan, ..
        } = self.attempts[at];
        let recorded_run = self.attempts[at].order.record;
        if orphan {
            if run.is_some() {
                self.attempts.remove(at);
            }
            return;
        }
        match run {
            None if !answered => self.break_off(name),
            None => {
                self.attempts.remove(at);
                self.report(name, AttemptEnd::NotSent);
            }
            Some(_) if !answered => {
                self.attempts.remove(at);
                self.report(name, AttemptEnd::Lost);
            }
            Some(run) if recorded_run => {
                self.attempts.remove(at);
                self.report(name, AttemptEnd::Recorded(recorded(&run.to_string())));
            }
            Some(_) => {
                self.attempts.remove(at);
                self.end(name);
                self.report(name, AttemptEnd::Answered);
            }
        }
    }

    /// Callers of a stopping node whose calls have all ended close their connections.
    pub fn close_callers(&mut self, node: usize) {
        let process = self.nodes[node].process;
        let open = |asked: &Asked| {
            (asked.name.0, asked.name.1) == (node, process) && !asked.ended && !asked.caller_gone
        };
        if self.nodes[node].harness.stopped_accepting && !self.asked.iter().any(open) {
            self.tell(node, GatewayEvent::CallersGone);
        }
    }

    /// Everything works again and every attempt is answered.
    pub fn mend(&mut self) {
        self.store.set_down(false);
        self.store.inject_update_faults([]);
        self.lag = Duration::ZERO;
        self.reports_lost = false;
        for index in 0..SERVERS.len() {
            self.list_server(index, Presence::Live);
        }
        for node in 0..self.nodes.len() {
            self.wake(node);
        }
        self.repair_group();
    }

    /// Answers everything for a while.
    pub fn serve(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            for at in (0..self.attempts.len()).rev() {
                self.arrive(at);
                self.finish(at, true);
            }
            self.pass(TICK);
        }
    }
}

fn make_call(kind: u8) -> (CallArrival, Option<(bool, u8)>) {
    match kind {
        0 => (model_call(), None),
        1 => (plain_call(DESK, BOOKING, "GET /bookings", None), None),
        _ => {
            let (is_tablet, number) = (kind.is_multiple_of(2), kind / 2);
            let caller = if is_tablet { TABLET } else { DESK };
            let key = format!("k{number}");
            let call = plain_call(caller, BOOKING, "POST /charges", Some(&key));
            (call, Some((is_tablet, number)))
        }
    }
}
