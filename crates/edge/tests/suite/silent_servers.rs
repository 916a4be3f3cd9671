//! Servers that fall silent, in whole deployments: for a moment, after which they go on, or for
//! good.

use std::collections::BTreeMap;

use crate::network::{FIRST_PASSING_PORT, NodeNetwork, TICK_MS};
use crate::support::{apply_event, arrival, at, config, endpoint, list, not_run, pass_request};
use base::prelude::*;
use edge::border::ports::{CollectionItem, StoreCollection};
use edge::{
    ArrivalOutcome, CollectionEvent, EdgeEvent, EdgeQuestion, EdgeReply, PassDecision, PassRequest,
};
use intent::{CallKind, Route, RoutingConfig};
use relay::{AttemptEnd, AttemptId, CallStep, SendOrder, StallStep};
use replicas::Endpoint;

const SIZES: [usize; 6] = [3, 6, 12, 24, 70, 195];
const SERVERS: usize = 12;
/// Version of the configuration at all nodes.
const CONFIG_VERSION: u64 = 2;
/// Time at which the servers fall silent.
const SILENT_AT: u64 = 2_600;
/// Time for which a server that goes on is silent.
const PAUSE_MS: u64 = 1_000;
/// Time after the silence in which all requests must have ended.
const REST_MS: u64 = 3_000;
const EVENT_INTERVAL_MS: u64 = 60;
/// Time that a server takes for a plain response or the first event.
const ANSWER_MS: u64 = 100;
const EVENTS: u32 = 20;
/// Attempts that the routes allow.
const ATTEMPTS: u32 = 2;
/// Time from the silence by which a node refuses what no other node can pass on: it finds the
/// servers silent, tries others, and gives the other nodes the time to say what they reach.
const MAX_REFUSAL_MS: u64 = 1_800;
/// Time from the silence at one node until the others pass its streams on.
const PASSED_AFTER_MS: u64 = 900;
/// Requests that each node has answered before, so that it may make some retries.
const EARLIER_CALLS: usize = 40;
/// Time without an event after which a node asks about a stream's server.
const STREAM_CHECK_MS: u64 = 170;
/// Interval of the checks, and the delay that the steps of the emulation add.
const CHECK_SLACK_MS: u64 = 60 + 2 * TICK_MS;

/// How much of a deployment something concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    One,
    Most,
    All,
}

impl Part {
    fn count(self, all: usize) -> usize {
        match self {
            Self::One => 1,
            Self::Most => all * 3 / 4,
            Self::All => all,
        }
    }
}

const PARTS: [Part; 3] = [Part::One, Part::Most, Part::All];

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    /// Stream that has begun before the silence.
    Begun,
    /// Stream without an event before the silence.
    NotBegun,
    /// Plain request that may run more than once.
    Plain,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::Begun | Self::NotBegun => "/s/",
            Self::Plain => "/p/",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Whole,
    /// Refused or broken off by the node.
    Refused,
    Late,
}

/// Attempt as the servers see it.
struct OpenAttempt {
    id: AttemptId,
    server: HostName,
    via: Option<usize>,
    /// Instant of its next event, or of its response.
    next_at: u64,
}

struct OpenCall {
    id: CallId,
    node: usize,
    kind: Kind,
    attempts: Vec<OpenAttempt>,
    events: u32,
    check_at: ClockTime,
    deadline: ClockTime,
    /// Instants of the request and of its events.
    progress: Vec<u64>,
    /// Number of attempts that were sent.
    sent: u32,
    end: Option<(End, u64)>,
}

/// Nodes before servers, and requests that run there.
struct Deployment {
    network: NodeNetwork,
    servers: Vec<HostName>,
    calls: Vec<OpenCall>,
    last_id: u64,
}

fn stream_config() -> RoutingConfig {
    let config = config(CONFIG_VERSION, "/x/");
    let once_only = config.routes["a.example"][0].as_ref().clone();
    let stream = Route {
        name: "stream".into(),
        prefix: "/s/".into(),
        kind: CallKind::Stream { resumable: true },
        timeout: Duration::from_secs(8),
        attempts: ATTEMPTS,
        ..once_only.clone()
    };
    let plain = Route {
        name: "plain".into(),
        prefix: "/p/".into(),
        kind: CallKind::Idempotent,
        ..stream.clone()
    };
    let services = config.services.values().cloned();
    RoutingConfig::new(
        2,
        vec![once_only, stream, plain],
        services.collect(),
        None,
        config.limits,
    )
}

impl Deployment {
    fn new(nodes: usize) -> Self {
        let mut network = NodeNetwork::new(nodes);
        let endpoints = (0..SERVERS).map(|index| Endpoint {
            slots: 200,
            ..endpoint(&format!("p-{index}"))
        });
        let endpoints: Vec<_> = endpoints.collect();
        let servers = endpoints.iter().map(|endpoint| endpoint.id.clone());
        let servers = servers.collect();
        let items = endpoints.into_iter().map(CollectionItem::Endpoint);
        let items: Vec<_> = items.collect();
        let config = Arc::new(stream_config());
        for node in &mut network.nodes {
            let config = CollectionItem::RoutingConfig(config.clone(), "text".into());
            list(node, StoreCollection::RoutingConfig, vec![config], at(0));
            list(node, StoreCollection::Endpoints, items.clone(), at(0));
        }
        network.run(SILENT_AT - 600);
        let mut deployment = Self {
            network,
            servers,
            calls: Vec::new(),
            last_id: 0,
        };
        deployment.fill_retry_budgets();
        deployment
    }

    /// Every node has answered enough requests that it may make some retries.
    fn fill_retry_budgets(&mut self) {
        for node in 0..self.network.nodes.len() {
            for _ in 0..EARLIER_CALLS {
                self.arrive(node, Kind::Plain);
            }
        }
        for call in &mut self.calls {
            end_call(&mut self.network, call, End::Whole);
        }
        self.calls.clear();
    }

    /// Starts requests of all kinds at all nodes, and silences servers a moment later; returns
    /// when the servers have just fallen silent.
    fn start(&mut self, nodes: Part, servers: Part) {
        let count = self.network.nodes.len();
        for node in 0..count {
            for _ in 0..3 {
                self.arrive(node, Kind::Begun);
            }
        }
        self.run(SILENT_AT - TICK_MS);
        for node in 0..count {
            self.arrive(node, Kind::NotBegun);
            self.arrive(node, Kind::Plain);
        }
        let silent = &self.servers[..servers.count(SERVERS)];
        let links = (0..nodes.count(count)).flat_map(|node| {
            let servers = silent.iter().cloned();
            servers.map(move |server| (node, server))
        });
        self.network.silent_servers = links.collect();
    }

    fn arrive(&mut self, node: usize, kind: Kind) {
        let now = self.network.now;
        self.last_id += 1;
        let arrival = arrival(self.last_id, kind.path(), at(now));
        let id = arrival.call;
        let question = EdgeQuestion::Arrive(Box::new(arrival));
        let EdgeReply::Arrival(outcome) = self.network.ask(node, question) else {
            panic!("an arrival gets its outcome");
        };
        let ArrivalOutcome::Accepted { step, deadline, .. } = *outcome else {
            panic!("the request is accepted: {outcome:?}");
        };
        let mut call = OpenCall {
            id,
            node,
            kind,
            attempts: Vec::new(),
            events: 0,
            check_at: deadline,
            deadline,
            progress: vec![now],
            sent: 0,
            end: None,
        };
        play_step(&mut self.network, &mut call, step);
        self.calls.push(call);
    }

    /// Plays nodes, servers and requests until an instant.
    fn run(&mut self, until: u64) {
        while self.network.now < until {
            self.network.run(self.network.now + TICK_MS);
            if self.network.now.is_multiple_of(100) {
                self.answer_watches();
            }
            for call in &mut self.calls {
                play_call(&mut self.network, call);
            }
        }
    }

    /// Plays on until all requests have ended.
    fn run_to_end(&mut self) {
        let end = SILENT_AT + PAUSE_MS + REST_MS;
        while self.network.now < end && self.calls.iter().any(|call| call.end.is_none()) {
            self.run(self.network.now + TICK_MS);
        }
    }

    /// The store responds to every node that nothing has changed.
    fn answer_watches(&mut self) {
        let now = at(self.network.now);
        for node in &mut self.network.nodes {
            for collection in [StoreCollection::Endpoints, StoreCollection::Shared] {
                let unchanged = CollectionEvent::Changed(Vec::new(), ObjectVersion(1));
                apply_event(node, collection, unchanged, now);
            }
        }
    }

    /// Numbers of requests by kind and end; `None` if they have not ended.
    fn ends(&self) -> BTreeMap<(Kind, Option<End>), usize> {
        let mut ends = BTreeMap::new();
        for call in &self.calls {
            let end = call.end.map(|(end, _)| end);
            *ends.entry((call.kind, end)).or_default() += 1;
        }
        ends
    }

    fn unfinished(&self, kind: Kind) -> usize {
        let calls = self.calls.iter().filter(|call| call.kind == kind);
        let others = calls.filter(|call| call.end.map(|(end, _)| end) != Some(End::Whole));
        others.count()
    }
}

fn play_call(network: &mut NodeNetwork, call: &mut OpenCall) {
    if call.end.is_some() {
        return;
    }
    let now = network.now;
    if at(now) >= call.deadline {
        end_call(network, call, End::Late);
        return;
    }
    let sending = call.attempts.iter().position(|attempt| {
        let reader = attempt.via.unwrap_or(call.node);
        attempt.next_at <= now && network.is_reached(reader, &attempt.server)
    });
    if let Some(index) = sending {
        receive(network, call, index);
    } else if at(now) >= call.check_at {
        check(network, call);
    }
}

/// An attempt gets an event or its response.
fn receive(network: &mut NodeNetwork, call: &mut OpenCall, index: usize) {
    let now = network.now;
    let mut attempt = call.attempts.swap_remove(index);
    if call.kind == Kind::Plain {
        end_call(network, call, End::Whole);
        return;
    }
    call.events += 1;
    call.progress.push(now);
    call.check_at = at(now + STREAM_CHECK_MS);
    network.handle(call.node, EdgeEvent::Progress(attempt.id));
    attempt.next_at = now + EVENT_INTERVAL_MS;
    call.attempts = vec![attempt];
    if call.events == EVENTS {
        end_call(network, call, End::Whole);
    }
}

fn check(network: &mut NodeNetwork, call: &mut OpenCall) {
    let Some(latest) = call.attempts.last().map(|attempt| attempt.id) else {
        panic!("request {:?} waits without an attempt", call.id);
    };
    let question = EdgeQuestion::Check {
        attempt: latest,
        is_answering: call.events > 0,
    };
    let EdgeReply::Stall(step) = network.ask(call.node, question) else {
        panic!("a check gets its step");
    };
    match step {
        StallStep::Wait { until } => call.check_at = until,
        StallStep::Move(_, order) => {
            play_step(network, call, CallStep::Send(*order));
        }
        StallStep::Abort(_) => {
            call.attempts.pop();
            let ended = EdgeQuestion::Ended(latest, AttemptEnd::Stalled);
            let EdgeReply::Step(step) = network.ask(call.node, ended) else {
                panic!("an attempt's end gets a step");
            };
            play_step(network, call, step);
        }
    }
}

/// Plays a step until an attempt is under way, another one is waited for, or it is a refusal.
fn play_step(network: &mut NodeNetwork, call: &mut OpenCall, mut step: CallStep) {
    loop {
        let order = match step {
            CallStep::Send(order) => order,
            CallStep::Wait => return,
            CallStep::Refuse(_) => return end_call(network, call, End::Refused),
        };
        let Some(end) = start_attempt(network, call, &order) else {
            return;
        };
        let ended = EdgeQuestion::Ended(order.attempt, end);
        let EdgeReply::Step(next) = network.ask(call.node, ended) else {
            panic!("an attempt's end gets a step");
        };
        step = next;
    }
}

/// Sends a request; returns how the attempt ends if it does at once.
fn start_attempt(
    network: &mut NodeNetwork,
    call: &mut OpenCall,
    order: &SendOrder,
) -> Option<AttemptEnd> {
    let via = order
        .via
        .map(|via| usize::from(via.port() - FIRST_PASSING_PORT));
    if let Some(other) = via {
        let request = PassRequest {
            version: Some(CONFIG_VERSION),
            ..pass_request(1_000_000 + call.id.0, order)
        };
        let question = EdgeQuestion::PassOn(Box::new(request));
        match network.ask(other, question) {
            EdgeReply::Pass(PassDecision::Send { .. }) => {}
            EdgeReply::Pass(PassDecision::Refuse) => {
                return Some(AttemptEnd::NotPassedOn(not_run()));
            }
            reply => panic!("another reply: {reply:?}"),
        }
    }
    call.sent += 1;
    call.check_at = order.check_at;
    call.attempts.push(OpenAttempt {
        id: order.attempt,
        server: order.target.clone(),
        via,
        next_at: network.now + ANSWER_MS,
    });
    None
}

fn end_call(network: &mut NodeNetwork, call: &mut OpenCall, end: End) {
    call.end = Some((end, network.now));
    if end == End::Whole {
        network.handle(call.node, EdgeEvent::Completed(call.id));
    }
    network.handle(call.node, EdgeEvent::Finished(call.id));
}

/// Nodes and servers of silences; only one of them in the largest deployments.
fn silences(size: usize) -> Vec<(Part, Part)> {
    if size > 24 {
        return vec![(Part::All, Part::Most)];
    }
    let pairs = PARTS.map(|nodes| PARTS.map(|servers| (nodes, servers)));
    pairs.concat()
}

/// Whether a node has taken itself for cut off.
fn was_cut_off(deployment: &Deployment, node: usize) -> bool {
    deployment.network.reach_changes[node].is_some()
}

#[test]
fn no_request_is_lost_at_servers_that_go_on_after_a_moment() {
    for size in SIZES {
        for (nodes, servers) in silences(size) {
            let mut deployment = Deployment::new(size);
            deployment.start(nodes, servers);
            deployment.run(SILENT_AT + PAUSE_MS);
            deployment.network.silent_servers.clear();
            deployment.run_to_end();
            let name = format!("{size} nodes, silent at {nodes:?}: {servers:?}");
            let ends = deployment.ends();
            eprintln!("{name}: {ends:?}");
            for kind in [Kind::Begun, Kind::NotBegun, Kind::Plain] {
                assert_eq!(deployment.unfinished(kind), 0, "{name}: {ends:?}");
            }
        }
    }
}

#[test]
fn nodes_that_all_reach_no_server_keep_their_requests() {
    for size in SIZES {
        let mut deployment = Deployment::new(size);
        deployment.start(Part::All, Part::All);
        deployment.run(SILENT_AT + PAUSE_MS);
        let cut_off = (0..size).filter(|node| was_cut_off(&deployment, *node));
        assert_eq!(cut_off.count(), size, "{size} nodes");
        deployment.network.silent_servers.clear();
        deployment.run_to_end();
        let ends = deployment.ends();
        for kind in [Kind::Begun, Kind::NotBegun, Kind::Plain] {
            assert_eq!(deployment.unfinished(kind), 0, "{size} nodes: {ends:?}");
        }
    }
}

#[test]
fn requests_at_a_node_that_alone_reaches_no_server_go_by_way_of_others_or_are_refused() {
    for size in SIZES {
        let mut deployment = Deployment::new(size);
        deployment.start(Part::One, Part::All);
        deployment.run_to_end();
        let ends = deployment.ends();
        eprintln!("{size} nodes: {ends:?}");
        assert!(was_cut_off(&deployment, 0), "{size} nodes");
        for call in &deployment.calls {
            let Some((end, ended_at)) = call.end else {
                panic!("{size} nodes: {:?} goes on", call.id);
            };
            // It was sent to a second server before the node knew that it reaches none.
            let may_be_refused = call.node == 0
                && call.kind != Kind::Begun
                && call.sent == ATTEMPTS
                && end == End::Refused
                && ended_at <= SILENT_AT + MAX_REFUSAL_MS;
            let is_kept = end == End::Whole || may_be_refused;
            assert!(is_kept, "{size} nodes, {:?}: {ends:?}", call.kind);
        }
    }
}

#[test]
fn streams_that_are_passed_on_outlast_a_silence_at_the_nodes_that_pass_them_on() {
    for size in SIZES {
        let mut deployment = Deployment::new(size);
        deployment.start(Part::One, Part::All);
        deployment.run(SILENT_AT + PASSED_AFTER_MS);
        let mut passed = deployment.calls.iter().flat_map(|call| &call.attempts);
        assert!(passed.any(|attempt| attempt.via.is_some()), "{size} nodes");
        let at_one = deployment.network.silent_servers.clone();
        let servers = deployment.servers.clone();
        let others = (1..size).flat_map(|node| servers.iter().map(move |id| (node, id.clone())));
        deployment.network.silent_servers.extend(others);
        deployment.run(SILENT_AT + PASSED_AFTER_MS + PAUSE_MS);
        deployment.network.silent_servers = at_one;
        deployment.run_to_end();
        let ends = deployment.ends();
        eprintln!("{size} nodes: {ends:?}");
        assert_eq!(
            deployment.unfinished(Kind::Begun),
            0,
            "{size} nodes: {ends:?}"
        );
    }
}

#[test]
fn a_server_that_stays_silent_is_left_in_time() {
    for size in SIZES {
        for nodes in [Part::One, Part::All] {
            let mut deployment = Deployment::new(size);
            deployment.start(nodes, Part::One);
            deployment.run_to_end();
            let (ends, pauses) = (deployment.ends(), longest_pauses(&deployment));
            let name = format!("{size} nodes, silent at {nodes:?}");
            eprintln!("{name}: {ends:?} {pauses:?}");
            for (kind, limit_ms) in [
                (Kind::Begun, 500),
                (Kind::NotBegun, 1_500),
                (Kind::Plain, 210),
            ] {
                assert_eq!(deployment.unfinished(kind), 0, "{name}: {ends:?}");
                let limit_ms = limit_ms + ANSWER_MS + CHECK_SLACK_MS;
                assert!(pauses[&kind] <= limit_ms, "{name}: {pauses:?}");
            }
        }
    }
}

/// Longest time from a request or event to the next event or the response, of each kind.
fn longest_pauses(deployment: &Deployment) -> BTreeMap<Kind, u64> {
    let mut pauses = BTreeMap::new();
    for call in &deployment.calls {
        let end = call.end.map(|(_, at)| at);
        let instants: Vec<_> = call.progress.iter().copied().chain(end).collect();
        let gaps = instants.windows(2).map(|pair| pair[1] - pair[0]);
        let longest: &mut u64 = pauses.entry(call.kind).or_default();
        *longest = (*longest).max(gaps.max().unwrap_or(0));
    }
    pauses
}
