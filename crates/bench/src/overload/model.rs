//! Model time: callers, nodes and fake endpoints on one queue of events.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use base::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use routing::{CacheEvent, LoadSample};

use super::caller::{ModelCall, draw_gap};
use super::endpoint::FakeEndpoint;
use super::managed::{ManagedNode, name_workspace};
use super::plain::PlainNode;
use super::policy::{NodeAction, NodeCall, NodePolicy};
use super::setup::{
    CALLER_TRIES, CONNECT_TIMEOUT, EVENT_LOSS, GOOD_LIMIT, NOTICE_TIME, PATIENCE, PolicyKind,
    REPORT_LAG, REPORT_SPAN, START_LIMIT, Setup,
};
use super::tally::RunTally;

/// Time after which a caller without a hint comes back.
const RETURN_DELAY: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum ModelEvent {
    Draw(usize),
    Ask(ModelCall),
    Retry(CallId),
    First(CallId, u32),
    Finish(CallId, u32),
    Break(CallId, u32),
    HangUp(CallId),
    Report,
    Load(Vec<(usize, LoadSample)>, ClockTime),
    Cache(usize, CacheEvent),
    Wake(usize),
    Dark,
    Light,
    Notice(Vec<usize>),
}

struct CallState {
    model: ModelCall,
    node: usize,
    arrived: ClockTime,
    attempt: u32,
    endpoint: Option<usize>,
    streaming: bool,
    good: bool,
}

/// One run under way.
pub struct Model {
    setup: Setup,
    arrivals_rng: StdRng,
    rng: StdRng,
    now: ClockTime,
    queue: BinaryHeap<Reverse<(ClockTime, u64)>>,
    events: HashMap<u64, ModelEvent>,
    event_count: u64,
    call_count: u64,
    nodes: Vec<Box<dyn NodePolicy>>,
    wakes: Vec<Option<ClockTime>>,
    endpoints: Vec<FakeEndpoint>,
    calls: HashMap<CallId, CallState>,
    tally: RunTally,
}

/// Runs a setup to its end.
pub fn run_setup(setup: Setup) -> RunTally {
    let mut model = Model::new(setup);
    model.begin();
    model.run()
}

impl Model {
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
            tally: RunTally::new(setup.warm, setup.end, setup.arrivals.len()),
            setup,
        }
    }

    fn begin(&mut self) {
        self.notice((0..self.setup.endpoints).collect());
        for workspace in 0..self.setup.arrivals.len() {
            self.schedule(self.now, ModelEvent::Draw(workspace));
        }
        self.schedule(self.now, ModelEvent::Report);
        if let Some((dark, light)) = self.setup.outage {
            self.schedule(dark, ModelEvent::Dark);
            self.schedule(light, ModelEvent::Light);
        }
    }

    fn run(mut self) -> RunTally {
        while let Some(Reverse((due, number))) = self.queue.pop() {
            if due > self.setup.end {
                break;
            }
            self.now = due;
            let event = self.events.remove(&number).expect("it was scheduled");
            self.handle(event);
        }
        self.tally
    }

    fn schedule(&mut self, due: ClockTime, event: ModelEvent) {
        self.event_count += 1;
        self.events.insert(self.event_count, event);
        self.queue.push(Reverse((due, self.event_count)));
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Draw(workspace) => self.draw(workspace),
            ModelEvent::Ask(model) => self.ask(model),
            ModelEvent::Retry(call) => self.retry(call),
            ModelEvent::First(call, attempt) => self.first(call, attempt),
            ModelEvent::Finish(call, attempt) => self.finish(call, attempt),
            ModelEvent::Break(call, attempt) => self.break_call(call, attempt),
            ModelEvent::HangUp(call) => self.hang_up(call),
            ModelEvent::Report => self.report(),
            ModelEvent::Load(samples, taken) => self.load(&samples, taken),
            ModelEvent::Cache(endpoint, event) => self.cache(endpoint, &event),
            ModelEvent::Wake(node) => self.wake(node),
            ModelEvent::Dark => self.go_dark(),
            ModelEvent::Light => self.go_light(),
            ModelEvent::Notice(endpoints) => self.notice(endpoints),
        }
    }

    fn draw(&mut self, workspace: usize) {
        let capacity = self.setup.capacity();
        let gap = draw_gap(
            &self.setup.arrivals[workspace],
            capacity,
            &mut self.arrivals_rng,
        );
        self.schedule(self.now + gap, ModelEvent::Draw(workspace));
        let model = ModelCall::draw(workspace, &mut self.arrivals_rng);
        self.tally.offered += u64::from(self.tally.counts(self.now));
        self.ask(model);
    }

    fn ask(&mut self, mut model: ModelCall) {
        model.tries += 1;
        self.call_count += 1;
        let call = CallId(self.call_count);
        let node = self.rng.random_range(0..self.setup.nodes);
        let asked = NodeCall {
            call,
            workspace: name_workspace(self.setup.arrivals[model.workspace].workspace),
            tokens: model.tokens,
            prefix: model.prefix(call),
            deadline: self.now + START_LIMIT,
        };
        let state = CallState {
            model,
            node,
            arrived: self.now,
            attempt: 0,
            endpoint: None,
            streaming: false,
            good: false,
        };
        self.calls.insert(call, state);
        self.schedule(self.now + PATIENCE, ModelEvent::HangUp(call));
        let actions = self.nodes[node].arrive(asked, self.now);
        self.act(node, actions);
    }

    fn act(&mut self, node: usize, actions: Vec<NodeAction>) {
        for action in actions {
            match action {
                NodeAction::Send { call, endpoint } => self.send(call, endpoint),
                NodeAction::Retry { call, due } => {
                    self.tally.retried += u64::from(self.tally.counts(self.now));
                    self.schedule(due, ModelEvent::Retry(call));
                }
                NodeAction::Refuse { call, retry_at } => {
                    self.tally.refused += u64::from(self.tally.counts(self.now));
                    let hint = retry_at.filter(|_| self.setup.heeds_hint);
                    self.turn_away(call, hint);
                }
                NodeAction::Fail { call } => self.turn_away(call, None),
            }
        }
        self.plan_wake(node);
    }

    /// Lets the caller come back, unless it has asked too often.
    fn turn_away(&mut self, call: CallId, hint: Option<ClockTime>) {
        let Some(state) = self.calls.remove(&call) else {
            return;
        };
        if state.model.tries >= CALLER_TRIES {
            self.tally.lost += u64::from(self.tally.counts(self.now));
            return;
        }
        self.tally.returned += u64::from(self.tally.counts(self.now));
        let due = hint.unwrap_or(self.now + RETURN_DELAY);
        self.schedule(due, ModelEvent::Ask(state.model));
    }

    fn send(&mut self, call: CallId, endpoint: usize) {
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        state.attempt += 1;
        state.endpoint = Some(endpoint);
        let attempt = state.attempt;
        if self.endpoints[endpoint].dark {
            self.schedule(self.now + CONNECT_TIMEOUT, ModelEvent::Break(call, attempt));
            return;
        }
        self.endpoints[endpoint].waiting.push_back(call);
        self.start(endpoint);
        self.watch_peak(endpoint);
    }

    fn watch_peak(&mut self, endpoint: usize) {
        if self.tally.counts(self.now) {
            let sample = self.endpoints[endpoint].sample();
            let calls = f64::from(sample.running + sample.waiting);
            self.tally.peak = self.tally.peak.max(calls / self.setup.slots as f64);
        }
    }

    fn start(&mut self, endpoint: usize) {
        while let Some(call) = self.endpoints[endpoint].start_next() {
            let state = &self.calls[&call];
            let taken = self.endpoints[endpoint].touch(state.model.kind);
            let first = self.now + state.model.prompt_time(taken.cached);
            let finish = first + state.model.stream_time();
            let attempt = state.attempt;
            self.schedule(first, ModelEvent::First(call, attempt));
            self.schedule(finish, ModelEvent::Finish(call, attempt));
            self.tally.started += 1;
            self.tally.cached += u64::from(taken.cached);
            for event in taken.events {
                if self.rng.random_range(0.0..1.0) >= EVENT_LOSS {
                    self.schedule(self.now + REPORT_LAG, ModelEvent::Cache(endpoint, event));
                }
            }
        }
    }

    /// Call whose attempt is still the present one.
    fn present(&mut self, call: CallId, attempt: u32) -> Option<&mut CallState> {
        let state = self.calls.get_mut(&call)?;
        (state.attempt == attempt && state.endpoint.is_some()).then_some(state)
    }

    fn first(&mut self, call: CallId, attempt: u32) {
        let now = self.now;
        let Some(state) = self.present(call, attempt) else {
            return;
        };
        let wait = now.since(state.arrived);
        if !state.streaming {
            state.streaming = true;
            state.good = wait <= GOOD_LIMIT;
            let (workspace, good) = (state.model.workspace, state.good);
            self.tally.record_first(workspace, wait, good, now);
        }
    }

    fn finish(&mut self, call: CallId, attempt: u32) {
        let Some(state) = self.present(call, attempt) else {
            return;
        };
        let (node, endpoint, good) = (state.node, state.endpoint, state.good);
        self.calls.remove(&call);
        self.tally.good += u64::from(good && self.tally.counts(self.now));
        self.leave(call, endpoint);
        let actions = self.nodes[node].finish(call, self.now);
        self.act(node, actions);
    }

    fn leave(&mut self, call: CallId, endpoint: Option<usize>) {
        if let Some(endpoint) = endpoint {
            self.endpoints[endpoint].remove(call);
            self.start(endpoint);
        }
    }

    fn break_call(&mut self, call: CallId, attempt: u32) {
        let Some(state) = self.present(call, attempt) else {
            return;
        };
        state.endpoint = None;
        let node = state.node;
        let actions = self.nodes[node].fail(call, self.now);
        self.act(node, actions);
    }

    fn retry(&mut self, call: CallId) {
        if let Some(state) = self.calls.get(&call) {
            let node = state.node;
            let actions = self.nodes[node].retry(call, self.now);
            self.act(node, actions);
        }
    }

    fn hang_up(&mut self, call: CallId) {
        let Some(state) = self.calls.get(&call).filter(|state| !state.streaming) else {
            return;
        };
        let (node, endpoint) = (state.node, state.endpoint);
        self.tally.hung_up += u64::from(self.tally.counts(self.now));
        self.turn_away(call, None);
        self.leave(call, endpoint);
        let actions = self.nodes[node].hang_up(call, self.now);
        self.act(node, actions);
    }

    fn report(&mut self) {
        let lit = self
            .endpoints
            .iter()
            .enumerate()
            .filter(|(_, endpoint)| !endpoint.dark);
        let samples = lit.map(|(number, endpoint)| (number, endpoint.sample()));
        let event = ModelEvent::Load(samples.collect(), self.now);
        self.schedule(self.now + REPORT_LAG, event);
        self.schedule(self.now + REPORT_SPAN, ModelEvent::Report);
    }

    fn load(&mut self, samples: &[(usize, LoadSample)], taken: ClockTime) {
        for node in 0..self.nodes.len() {
            let actions = self.nodes[node].observe_load(samples, taken, self.now);
            self.act(node, actions);
        }
    }

    fn cache(&mut self, endpoint: usize, event: &CacheEvent) {
        for node in &mut self.nodes {
            node.observe_cache(endpoint, event.clone());
        }
    }

    fn plan_wake(&mut self, node: usize) {
        let due = self.nodes[node].next_deadline();
        if due.is_some() && due != self.wakes[node] {
            self.wakes[node] = due;
            self.schedule(due.unwrap_or(self.now), ModelEvent::Wake(node));
        }
    }

    fn wake(&mut self, node: usize) {
        let actions = self.nodes[node].wake(self.now);
        self.act(node, actions);
    }

    fn go_dark(&mut self) {
        for endpoint in 0..self.setup.endpoints / 2 {
            for call in self.endpoints[endpoint].go_dark() {
                let attempt = self.calls[&call].attempt;
                self.schedule(self.now, ModelEvent::Break(call, attempt));
            }
        }
        let left = (self.setup.endpoints / 2..self.setup.endpoints).collect();
        self.schedule(self.now + NOTICE_TIME, ModelEvent::Notice(left));
    }

    fn go_light(&mut self) {
        for endpoint in &mut self.endpoints {
            endpoint.dark = false;
        }
        let all = (0..self.setup.endpoints).collect();
        self.schedule(self.now + NOTICE_TIME, ModelEvent::Notice(all));
    }

    fn notice(&mut self, endpoints: Vec<usize>) {
        for node in 0..self.nodes.len() {
            let actions = self.nodes[node].set_endpoints(&endpoints, self.now);
            self.act(node, actions);
        }
    }
}
