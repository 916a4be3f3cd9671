//! Discrete event simulation of callers, nodes and fake endpoints in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use base::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use routing::{CacheEvent, LoadSample};

use super::caller::{CallSpec, random_gap};
use super::endpoint::FakeEndpoint;
use super::managed::{ManagedNode, workspace_name};
use super::plain::PlainNode;
use super::policy::{NodeAction, NodeCall, NodePolicy};
use super::setup::{
    CACHE_EVENT_LOSS, CALLER_ATTEMPTS, CALLER_TIMEOUT, CONNECT_TIMEOUT, DETECTION_DELAY,
    FIRST_TOKEN_TARGET, PolicyKind, REPORT_DELAY, REPORT_INTERVAL, START_TIMEOUT, Setup,
};
use super::tally::RunTally;

/// Time after which a caller retries if the node named no retry time.
const CALLER_RETRY_DELAY: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum SimulationEvent {
    NewCall(usize),
    Submit(CallSpec),
    Retry(CallId),
    FirstToken(CallId, u32),
    Finish(CallId, u32),
    AttemptFailed(CallId, u32),
    Disconnect(CallId),
    CollectReport,
    LoadReport(Vec<(usize, LoadSample)>, ClockTime),
    CacheEvent(usize, CacheEvent),
    Wake(usize),
    OutageStart,
    OutageEnd,
    EndpointsChanged(Vec<usize>),
}

struct CallState {
    call_spec: CallSpec,
    node: usize,
    arrived_at: ClockTime,
    attempt: u32,
    endpoint: Option<usize>,
    is_streaming: bool,
    is_good: bool,
}

/// Simulation in progress.
pub struct Simulation {
    setup: Setup,
    arrivals_rng: StdRng,
    rng: StdRng,
    now: ClockTime,
    queue: BinaryHeap<Reverse<(ClockTime, u64)>>,
    events: HashMap<u64, SimulationEvent>,
    event_count: u64,
    call_count: u64,
    nodes: Vec<Box<dyn NodePolicy>>,
    wakes: Vec<Option<ClockTime>>,
    endpoints: Vec<FakeEndpoint>,
    calls: HashMap<CallId, CallState>,
    tally: RunTally,
}

/// Runs one simulation to its end.
pub fn run_setup(setup: Setup) -> RunTally {
    let mut simulation = Simulation::new(setup);
    simulation.begin();
    simulation.run()
}

impl Simulation {
    fn new(setup: Setup) -> Self {
        let make = |number| -> Box<dyn NodePolicy> {
            match setup.policy {
                PolicyKind::Managed => Box::new(ManagedNode::new(&setup, number)),
                PolicyKind::Plain => Box::new(PlainNode::new(&setup, number)),
            }
        };
        let endpoint = |_| FakeEndpoint::new(setup.slots);
        Self {
            arrivals_rng: StdRng::seed_from_u64(setup.seed),
            rng: StdRng::seed_from_u64(!setup.seed),
            now: ClockTime(0),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            event_count: 0,
            call_count: 0,
            nodes: (0..setup.nodes).map(make).collect(),
            wakes: vec![None; setup.nodes],
            endpoints: (0..setup.endpoints).map(endpoint).collect(),
            calls: HashMap::new(),
            tally: RunTally::new(setup.warm_up_end, setup.end, setup.arrivals.len()),
            setup,
        }
    }

    fn begin(&mut self) {
        self.set_endpoints((0..self.setup.endpoints).collect());
        for workspace in 0..self.setup.arrivals.len() {
            self.schedule(self.now, SimulationEvent::NewCall(workspace));
        }
        self.schedule(self.now, SimulationEvent::CollectReport);
        if let Some((outage_start, outage_end)) = self.setup.outage {
            self.schedule(outage_start, SimulationEvent::OutageStart);
            self.schedule(outage_end, SimulationEvent::OutageEnd);
        }
    }

    fn run(mut self) -> RunTally {
        while let Some(Reverse((due, number))) = self.queue.pop() {
            if due > self.setup.end {
                break;
            }
            self.now = due;
            let event = self.events.remove(&number).expect("the event is scheduled");
            self.handle(event);
        }
        self.tally
    }

    fn schedule(&mut self, due: ClockTime, event: SimulationEvent) {
        self.event_count += 1;
        self.events.insert(self.event_count, event);
        self.queue.push(Reverse((due, self.event_count)));
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::NewCall(workspace) => self.start_new_call(workspace),
            SimulationEvent::Submit(call_spec) => self.submit(call_spec),
            SimulationEvent::Retry(call) => self.retry(call),
            SimulationEvent::FirstToken(call, attempt) => self.record_first_token(call, attempt),
            SimulationEvent::Finish(call, attempt) => self.finish(call, attempt),
            SimulationEvent::AttemptFailed(call, attempt) => self.fail_attempt(call, attempt),
            SimulationEvent::Disconnect(call) => self.disconnect(call),
            SimulationEvent::CollectReport => self.collect_report(),
            SimulationEvent::LoadReport(samples, taken) => self.observe_load(&samples, taken),
            SimulationEvent::CacheEvent(endpoint, event) => self.observe_cache(endpoint, &event),
            SimulationEvent::Wake(node) => self.wake(node),
            SimulationEvent::OutageStart => self.start_outage(),
            SimulationEvent::OutageEnd => self.end_outage(),
            SimulationEvent::EndpointsChanged(endpoints) => self.set_endpoints(endpoints),
        }
    }

    fn start_new_call(&mut self, workspace: usize) {
        let capacity = self.setup.capacity();
        let gap = random_gap(
            &self.setup.arrivals[workspace],
            capacity,
            &mut self.arrivals_rng,
        );
        self.schedule(self.now + gap, SimulationEvent::NewCall(workspace));
        let call_spec = CallSpec::random(workspace, &mut self.arrivals_rng);
        self.tally.offered += u64::from(self.tally.is_counted(self.now));
        self.submit(call_spec);
    }

    fn submit(&mut self, mut call_spec: CallSpec) {
        call_spec.attempts += 1;
        self.call_count += 1;
        let call = CallId(self.call_count);
        let node = self.rng.random_range(0..self.setup.nodes);
        let node_call = NodeCall {
            call,
            workspace: workspace_name(self.setup.arrivals[call_spec.workspace].workspace),
            tokens: call_spec.tokens,
            prefix: call_spec.prefix(call),
            deadline: self.now + START_TIMEOUT,
        };
        let state = CallState {
            call_spec,
            node,
            arrived_at: self.now,
            attempt: 0,
            endpoint: None,
            is_streaming: false,
            is_good: false,
        };
        self.calls.insert(call, state);
        self.schedule(self.now + CALLER_TIMEOUT, SimulationEvent::Disconnect(call));
        let actions = self.nodes[node].arrive(node_call, self.now);
        self.execute(node, actions);
    }

    fn execute(&mut self, node: usize, actions: Vec<NodeAction>) {
        for action in actions {
            match action {
                NodeAction::Send { call, endpoint } => self.send(call, endpoint),
                NodeAction::Retry { call, due } => {
                    self.tally.node_retries += u64::from(self.tally.is_counted(self.now));
                    self.schedule(due, SimulationEvent::Retry(call));
                }
                NodeAction::Refuse { call, retry_at } => {
                    self.tally.refused += u64::from(self.tally.is_counted(self.now));
                    let hint = retry_at.filter(|_| self.setup.honors_retry_hint);
                    self.retry_by_caller(call, hint);
                }
                NodeAction::Fail { call } => self.retry_by_caller(call, None),
            }
        }
        self.schedule_wake(node);
    }

    /// Schedules the caller's retry, unless its attempts are used up.
    fn retry_by_caller(&mut self, call: CallId, hint: Option<ClockTime>) {
        let Some(state) = self.calls.remove(&call) else {
            return;
        };
        if state.call_spec.attempts >= CALLER_ATTEMPTS {
            self.tally.lost += u64::from(self.tally.is_counted(self.now));
            return;
        }
        self.tally.caller_retries += u64::from(self.tally.is_counted(self.now));
        let due = hint.unwrap_or(self.now + CALLER_RETRY_DELAY);
        self.schedule(due, SimulationEvent::Submit(state.call_spec));
    }

    fn send(&mut self, call: CallId, endpoint: usize) {
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        state.attempt += 1;
        state.endpoint = Some(endpoint);
        let attempt = state.attempt;
        if self.endpoints[endpoint].is_down {
            self.schedule(
                self.now + CONNECT_TIMEOUT,
                SimulationEvent::AttemptFailed(call, attempt),
            );
            return;
        }
        self.endpoints[endpoint].waiting.push_back(call);
        self.start_waiting(endpoint);
        self.record_peak(endpoint);
    }

    fn record_peak(&mut self, endpoint: usize) {
        if self.tally.is_counted(self.now) {
            let sample = self.endpoints[endpoint].sample();
            let calls = f64::from(sample.running + sample.waiting);
            self.tally.peak = self.tally.peak.max(calls / self.setup.slots as f64);
        }
    }

    fn start_waiting(&mut self, endpoint: usize) {
        while let Some(call) = self.endpoints[endpoint].start_next() {
            let state = &self.calls[&call];
            let cache_update = self.endpoints[endpoint].cache_prompt(state.call_spec.kind);
            let first_token = self.now + state.call_spec.prompt_time(cache_update.was_cached);
            let finish = first_token + state.call_spec.stream_time();
            let attempt = state.attempt;
            self.schedule(first_token, SimulationEvent::FirstToken(call, attempt));
            self.schedule(finish, SimulationEvent::Finish(call, attempt));
            self.tally.started += 1;
            self.tally.cached += u64::from(cache_update.was_cached);
            for event in cache_update.events {
                if self.rng.random_range(0.0..1.0) >= CACHE_EVENT_LOSS {
                    self.schedule(
                        self.now + REPORT_DELAY,
                        SimulationEvent::CacheEvent(endpoint, event),
                    );
                }
            }
        }
    }

    /// State of a call if this attempt is its current one and has not failed.
    fn current_attempt(&mut self, call: CallId, attempt: u32) -> Option<&mut CallState> {
        let state = self.calls.get_mut(&call)?;
        (state.attempt == attempt && state.endpoint.is_some()).then_some(state)
    }

    fn record_first_token(&mut self, call: CallId, attempt: u32) {
        let now = self.now;
        let Some(state) = self.current_attempt(call, attempt) else {
            return;
        };
        let wait = now.since(state.arrived_at);
        if !state.is_streaming {
            state.is_streaming = true;
            state.is_good = wait <= FIRST_TOKEN_TARGET;
            let (workspace, is_good) = (state.call_spec.workspace, state.is_good);
            self.tally.record_first_token(workspace, wait, is_good, now);
        }
    }

    fn finish(&mut self, call: CallId, attempt: u32) {
        let Some(state) = self.current_attempt(call, attempt) else {
            return;
        };
        let (node, endpoint, is_good) = (state.node, state.endpoint, state.is_good);
        self.calls.remove(&call);
        self.tally.good += u64::from(is_good && self.tally.is_counted(self.now));
        self.release_slot(call, endpoint);
        let actions = self.nodes[node].finish(call, self.now);
        self.execute(node, actions);
    }

    fn release_slot(&mut self, call: CallId, endpoint: Option<usize>) {
        if let Some(endpoint) = endpoint {
            self.endpoints[endpoint].remove(call);
            self.start_waiting(endpoint);
        }
    }

    fn fail_attempt(&mut self, call: CallId, attempt: u32) {
        let Some(state) = self.current_attempt(call, attempt) else {
            return;
        };
        state.endpoint = None;
        let node = state.node;
        let actions = self.nodes[node].fail(call, self.now);
        self.execute(node, actions);
    }

    fn retry(&mut self, call: CallId) {
        if let Some(state) = self.calls.get(&call) {
            let node = state.node;
            let actions = self.nodes[node].retry(call, self.now);
            self.execute(node, actions);
        }
    }

    fn disconnect(&mut self, call: CallId) {
        let Some(state) = self.calls.get(&call).filter(|state| !state.is_streaming) else {
            return;
        };
        let (node, endpoint) = (state.node, state.endpoint);
        self.tally.disconnected += u64::from(self.tally.is_counted(self.now));
        self.retry_by_caller(call, None);
        self.release_slot(call, endpoint);
        let actions = self.nodes[node].disconnect(call, self.now);
        self.execute(node, actions);
    }

    fn collect_report(&mut self) {
        let reachable = self
            .endpoints
            .iter()
            .enumerate()
            .filter(|(_, endpoint)| !endpoint.is_down);
        let samples = reachable.map(|(number, endpoint)| (number, endpoint.sample()));
        let event = SimulationEvent::LoadReport(samples.collect(), self.now);
        self.schedule(self.now + REPORT_DELAY, event);
        self.schedule(self.now + REPORT_INTERVAL, SimulationEvent::CollectReport);
    }

    fn observe_load(&mut self, samples: &[(usize, LoadSample)], taken: ClockTime) {
        for node in 0..self.nodes.len() {
            let actions = self.nodes[node].observe_load(samples, taken, self.now);
            self.execute(node, actions);
        }
    }

    fn observe_cache(&mut self, endpoint: usize, event: &CacheEvent) {
        for node in &mut self.nodes {
            node.observe_cache(endpoint, event.clone());
        }
    }

    fn schedule_wake(&mut self, node: usize) {
        let due = self.nodes[node].next_deadline();
        if due.is_some() && due != self.wakes[node] {
            self.wakes[node] = due;
            self.schedule(due.unwrap_or(self.now), SimulationEvent::Wake(node));
        }
    }

    fn wake(&mut self, node: usize) {
        let actions = self.nodes[node].wake(self.now);
        self.execute(node, actions);
    }

    fn start_outage(&mut self) {
        for endpoint in 0..self.setup.endpoints / 2 {
            for call in self.endpoints[endpoint].shut_down() {
                let attempt = self.calls[&call].attempt;
                self.schedule(self.now, SimulationEvent::AttemptFailed(call, attempt));
            }
        }
        let remaining = (self.setup.endpoints / 2..self.setup.endpoints).collect();
        self.schedule(
            self.now + DETECTION_DELAY,
            SimulationEvent::EndpointsChanged(remaining),
        );
    }

    fn end_outage(&mut self) {
        for endpoint in &mut self.endpoints {
            endpoint.is_down = false;
        }
        let all = (0..self.setup.endpoints).collect();
        self.schedule(
            self.now + DETECTION_DELAY,
            SimulationEvent::EndpointsChanged(all),
        );
    }

    fn set_endpoints(&mut self, endpoints: Vec<usize>) {
        for node in 0..self.nodes.len() {
            let actions = self.nodes[node].set_endpoints(&endpoints, self.now);
            self.execute(node, actions);
        }
    }
}
