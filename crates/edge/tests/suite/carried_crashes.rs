//! Servers that crash while a node carries attempts for another one, which reaches no server.
//!
//! Guards against requests that crash servers by way of other nodes and are never quarantined, as
//! neither node reports the crashes, and against sound ones that are quarantined, as both do or as
//! the connection between the nodes breaks.

use crate::network::{FIRST_PASSING_PORT, NodeNetwork};
use crate::support::{
    apply_event, arrival, at, config, endpoint, first_attempt, list, not_run, pass_request,
};
use base::prelude::*;
use edge::border::ports::{CollectionChange, CollectionItem, StoreCollection};
use edge::{
    Arrival, ArrivalOutcome, CarriedSuspects, CollectionEvent, EdgeEvent, EdgeQuestion, EdgeReply,
    EdgeState, PassDecision, PassRequest, RejectReason,
};
use intent::CallKind;
use quarantine::{CallSuspects, PromptPart, PromptParts, RequestDigest};
use relay::{AttemptEnd, AttemptId, CallStep, SendOrder};

const DEADLY: RequestDigest = RequestDigest(7);
const POPULAR: RequestDigest = RequestDigest(8);
/// Numbers of nodes, and the time after the third crash within which all must know of it
/// (`contactMs`).
const DEPLOYMENTS: [(usize, u64); 2] = [(7, 3_000), (195, 5_000)];
/// Number of the first carried attempt; those of the nodes' own requests are below.
const FIRST_CARRIED: u64 = 1_000_000;

/// Which node ends right after a server has broken a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    None,
    /// The node that carries the attempt, before it has sent a message.
    Carrier,
    /// The node that took the request, before it hears of it.
    Taker,
}

/// Attempt that one node carries for another one.
struct Carried {
    taker: usize,
    carrier: usize,
    call: CallId,
    attempt: AttemptId,
    carried_call: CallId,
}

/// Nodes before a plain server that starts anew after each crash; the last nodes reach no server.
struct Deployment {
    network: NodeNetwork,
    /// Number of servers that have been replaced.
    servers: u64,
    calls: u64,
}

impl Deployment {
    /// Deployment with nodes that are partitioned from all servers and know it.
    fn new(nodes: usize, partitioned: usize) -> Self {
        let mut deployment = Self {
            network: NodeNetwork::new(nodes),
            servers: 0,
            calls: 0,
        };
        deployment.network.run(2_000);
        let takers = nodes - partitioned..nodes;
        deployment.network.partitioned = takers.clone().collect();
        for taker in takers {
            deployment.run_until_cut_off(taker);
        }
        // All nodes hear which ones are cut off.
        deployment.network.run(deployment.network.now + 500);
        deployment
    }

    /// Sends requests to a partitioned node until it has found out.
    fn run_until_cut_off(&mut self, node: usize) {
        let end = self.network.now + 5_000;
        while self.network.reach_changes[node] != Some("cut-off") {
            assert!(self.network.now < end, "node {node} is never cut off");
            let digest = RequestDigest(500_000 + self.calls);
            if let (call, Some(_)) = self.arrive(node, digest, &[]) {
                let end = AttemptEnd::NotSent(not_run());
                let ended = EdgeQuestion::Ended(first_attempt(call), end);
                self.network.ask(node, ended);
                self.network.handle(node, EdgeEvent::Finished(call));
            }
            self.network.run(self.network.now + 20);
        }
    }

    /// Number of a request at a node, and its first attempt unless it is quarantined.
    fn arrive(
        &mut self,
        node: usize,
        digest: RequestDigest,
        parts: &[u64],
    ) -> (CallId, Option<SendOrder>) {
        self.calls += 1;
        let arrival = Arrival {
            digest,
            prompt: prompt(parts),
            ..arrival(self.calls, "/x/", at(self.network.now))
        };
        let call = arrival.call;
        let question = EdgeQuestion::Arrive(Box::new(arrival));
        let EdgeReply::Arrival(outcome) = self.network.ask(node, question) else {
            panic!("an arrival gets its outcome");
        };
        match *outcome {
            ArrivalOutcome::Accepted {
                step: CallStep::Send(order),
                ..
            } => (call, Some(order)),
            ArrivalOutcome::Rejected(RejectReason::Quarantined { .. }) => (call, None),
            other => panic!("neither sent nor quarantined: {other:?}"),
        }
    }

    fn is_rejected(&mut self, node: usize, digest: RequestDigest, parts: &[u64]) -> bool {
        let (call, order) = self.arrive(node, digest, parts);
        self.network.handle(node, EdgeEvent::Finished(call));
        order.is_none()
    }

    /// Sends a request to a node that reaches no server, and has another one carry it.
    fn carry(&mut self, taker: usize, digest: RequestDigest, parts: &[u64]) -> Carried {
        let (call, order) = self.arrive(taker, digest, parts);
        let order = order.expect("the request is not quarantined yet");
        let via = order.via.expect("the request is passed on");
        let carrier = usize::from(via.port() - FIRST_PASSING_PORT);
        let carried_call = CallId(FIRST_CARRIED + self.calls);
        let suspects = suspects(digest, parts);
        let request = carried_request(&order, carried_call.0, order.epoch, &suspects);
        let question = EdgeQuestion::PassOn(Box::new(request));
        let reply = self.network.ask(carrier, question);
        let is_sent = matches!(reply, EdgeReply::Pass(PassDecision::Send { .. }));
        assert!(is_sent, "{reply:?}");
        Carried {
            taker,
            carrier,
            call,
            attempt: order.attempt,
            carried_call,
        }
    }

    /// The server of carried attempts breaks their connections; another one replaces it.
    fn crash(&mut self, attempts: &[Carried], loss: Loss) {
        self.network.run(self.network.now + 60);
        for carried in attempts {
            let (taker, carrier) = (carried.taker, carried.carrier);
            let question = EdgeQuestion::PassLost(carried.carried_call);
            let is_reported = match self.network.ask(carrier, question) {
                EdgeReply::PassLost { is_reported } => is_reported,
                reply => panic!("another reply: {reply:?}"),
            };
            let finished = EdgeEvent::Finished(carried.carried_call);
            self.network.handle(carrier, finished);
            if loss == Loss::Carrier {
                self.network.stopped.insert(carrier);
            }
            if loss == Loss::Taker {
                self.network.stopped.insert(taker);
                continue;
            }
            let end = match is_reported {
                true => AttemptEnd::Crashed,
                false => AttemptEnd::Lost,
            };
            let ended = EdgeQuestion::Ended(carried.attempt, end);
            self.network.ask(taker, ended);
            self.network
                .handle(taker, EdgeEvent::Finished(carried.call));
        }
        self.replace_server();
        self.network.run(self.network.now + 300);
    }

    fn replace_server(&mut self) {
        self.servers += 1;
        let id = format!("p-{}", 1 + self.servers);
        for node in &mut self.network.nodes {
            let servers = vec![CollectionItem::Endpoint(endpoint(&id))];
            let now = at(self.network.now);
            list(node, StoreCollection::Endpoints, servers, now);
        }
    }

    /// A node answers a request, directly or by way of another one.
    fn answer(&mut self, node: usize, digest: RequestDigest) {
        let (call, order) = self.arrive(node, digest, &[]);
        assert!(order.is_some(), "a sound request is rejected at {node}");
        self.network.handle(node, EdgeEvent::Completed(call));
        self.network.handle(node, EdgeEvent::Finished(call));
    }

    fn running(&self) -> Vec<usize> {
        let nodes = 0..self.network.nodes.len();
        nodes
            .filter(|node| !self.network.stopped.contains(node))
            .collect()
    }
}

fn prompt(parts: &[u64]) -> PromptParts {
    PromptParts {
        shared: parts.iter().copied().map(PromptPart).collect(),
    }
}

fn suspects(digest: RequestDigest, parts: &[u64]) -> CallSuspects {
    CallSuspects {
        parts: prompt(parts),
        digest: digest.of_workspace(None),
    }
}

/// Request to carry an attempt at a group of an epoch.
fn carried_request(
    order: &SendOrder,
    call: u64,
    epoch: GroupEpoch,
    suspects: &CallSuspects,
) -> PassRequest {
    PassRequest {
        suspects: Some(CarriedSuspects {
            suspects: suspects.clone(),
            epoch,
            has_begun: false,
        }),
        ..pass_request(call, order)
    }
}

/// Brings a version into force that lets requests run more than once.
fn repeatable(node: &mut EdgeState, now: ClockTime) {
    let mut config = config(2, "/x/");
    for route in config.routes.values_mut().flatten() {
        let route = Arc::make_mut(route);
        (route.kind, route.attempts) = (CallKind::Idempotent, 2);
    }
    let item = CollectionItem::RoutingConfig(Arc::new(config), "text".into());
    let event = CollectionEvent::Changed(vec![CollectionChange::Put(item)], ObjectVersion(2));
    apply_event(node, StoreCollection::RoutingConfig, event, now);
}

#[test]
fn every_node_rejects_a_request_that_crashed_servers_by_way_of_other_nodes() {
    for (nodes, contact_ms) in DEPLOYMENTS {
        let mut deployment = Deployment::new(nodes, 1);
        let taker = nodes - 1;
        for _ in 0..3 {
            // A sound request is at the same server.
            let deadly = deployment.carry(taker, DEADLY, &[]);
            let sound = deployment.carry(taker, POPULAR, &[]);
            deployment.crash(&[deadly, sound], Loss::None);
            deployment.answer(taker, POPULAR);
        }
        let end = deployment.network.now + contact_ms - 300;
        deployment.network.run(end);
        for node in 0..nodes {
            let is_rejected = deployment.is_rejected(node, DEADLY, &[]);
            assert!(is_rejected, "{nodes} nodes: {node}");
            deployment.answer(node, POPULAR);
        }
    }
}

#[test]
fn crashes_count_although_the_node_that_carried_or_took_the_request_ends_with_each() {
    for (nodes, contact_ms) in DEPLOYMENTS {
        for loss in [Loss::Carrier, Loss::Taker] {
            let mut deployment = Deployment::new(nodes, 3);
            for index in 1..=3 {
                let deadly = deployment.carry(nodes - index, DEADLY, &[]);
                deployment.crash(&[deadly], loss);
            }
            let end = deployment.network.now + contact_ms - 300;
            deployment.network.run(end);
            for node in deployment.running() {
                let is_rejected = deployment.is_rejected(node, DEADLY, &[]);
                assert!(is_rejected, "{nodes} nodes, {loss:?}: {node}");
            }
        }
    }
}

#[test]
fn a_crash_counts_once_although_both_nodes_know_of_it() {
    for (nodes, contact_ms) in DEPLOYMENTS {
        let mut deployment = Deployment::new(nodes, 1);
        for _ in 0..2 {
            let deadly = deployment.carry(nodes - 1, DEADLY, &[]);
            deployment.crash(&[deadly], Loss::None);
        }
        let end = deployment.network.now + 2 * contact_ms;
        deployment.network.run(end);
        for node in 0..nodes {
            let is_rejected = deployment.is_rejected(node, DEADLY, &[]);
            assert!(!is_rejected, "{nodes} nodes: {node}");
        }
    }
}

#[test]
fn a_part_that_crashes_servers_by_way_of_other_nodes_is_quarantined_and_others_are_not() {
    for (nodes, contact_ms) in DEPLOYMENTS {
        let mut deployment = Deployment::new(nodes, 1);
        let taker = nodes - 1;
        for index in 0..3 {
            let deadly = deployment.carry(taker, RequestDigest(100 + index), &[1, 2]);
            deployment.crash(&[deadly], Loss::None);
            // Another request with the first part only.
            let (call, _) = deployment.arrive(taker, RequestDigest(200 + index), &[1]);
            deployment.network.handle(taker, EdgeEvent::Completed(call));
            deployment.network.handle(taker, EdgeEvent::Finished(call));
        }
        let end = deployment.network.now + contact_ms - 300;
        deployment.network.run(end);
        for node in 0..nodes {
            let digest = RequestDigest(1_000 + node as u64);
            let is_rejected = deployment.is_rejected(node, digest, &[1, 2]);
            assert!(is_rejected, "{nodes} nodes: {node}");
            let is_rejected = deployment.is_rejected(node, digest, &[1]);
            assert!(!is_rejected, "{nodes} nodes: {node}");
        }
    }
}

#[test]
fn a_broken_connection_to_the_carrying_node_is_no_crash_of_the_server() {
    for (nodes, contact_ms) in DEPLOYMENTS {
        for (end, is_restored) in [
            (AttemptEnd::Lost, false),
            (AttemptEnd::Lost, true),
            (AttemptEnd::Cut, true),
        ] {
            let mut deployment = Deployment::new(nodes, 1);
            let taker = nodes - 1;
            // Different requests with one part, each at another server.
            let attempts = (0..4).map(|index| {
                deployment.replace_server();
                deployment.carry(taker, RequestDigest(100 + index), &[1])
            });
            let attempts: Vec<_> = attempts.collect();
            if is_restored {
                deployment.network.partitioned.clear();
                deployment.network.run(deployment.network.now + 3_000);
                assert_eq!(deployment.network.reach_changes[taker], Some("restored"));
            }
            for carried in attempts {
                let ended = EdgeQuestion::Ended(carried.attempt, end);
                deployment.network.ask(taker, ended);
                deployment.network.run(deployment.network.now + 400);
            }
            deployment.network.run(deployment.network.now + contact_ms);
            for node in 0..nodes {
                let is_rejected = deployment.is_rejected(node, POPULAR, &[1]);
                assert!(!is_rejected, "{nodes} nodes, {end:?}: {node}");
            }
        }
    }
}

#[test]
fn a_request_that_crashed_a_server_is_not_sent_again_after_its_carrying_node_breaks_off() {
    // Whether the request was in a crash before, which no answer has cleared.
    for was_in_crash in [false, true] {
        let mut deployment = Deployment::new(7, 1);
        // The configuration lets requests run more than once.
        for node in &mut deployment.network.nodes {
            repeatable(node, at(deployment.network.now));
        }
        if was_in_crash {
            let deadly = deployment.carry(6, DEADLY, &[]);
            deployment.crash(&[deadly], Loss::None);
        }
        let carried = deployment.carry(6, DEADLY, &[]);
        deployment.replace_server();
        let ended = EdgeQuestion::Ended(carried.attempt, AttemptEnd::Cut);
        let EdgeReply::Step(step) = deployment.network.ask(6, ended) else {
            panic!("an attempt's end gets a step");
        };
        let is_sent = matches!(step, CallStep::Send(_));
        assert_eq!(is_sent, !was_in_crash, "{step:?}");
    }
}

#[test]
fn a_node_that_reaches_no_server_reports_no_crash_of_an_attempt_that_it_carries() {
    let mut deployment = Deployment::new(7, 1);
    let carried = deployment.carry(6, DEADLY, &[]);
    let carrier = carried.carrier;
    deployment.network.partitioned.insert(carrier);
    deployment.run_until_cut_off(carrier);
    let question = EdgeQuestion::PassLost(carried.carried_call);
    let reply = deployment.network.ask(carrier, question);
    assert!(
        matches!(reply, EdgeReply::PassLost { is_reported: false }),
        "{reply:?}"
    );
}

#[test]
fn a_node_carries_no_attempt_of_a_quarantined_request() {
    let mut deployment = Deployment::new(7, 1);
    for _ in 0..3 {
        let deadly = deployment.carry(6, DEADLY, &[]);
        deployment.crash(&[deadly], Loss::None);
    }
    deployment.network.run(deployment.network.now + 2_000);
    let (_, order) = deployment.arrive(6, POPULAR, &[]);
    let order = order.expect("a sound request");
    let request = carried_request(&order, FIRST_CARRIED, order.epoch, &suspects(DEADLY, &[]));
    let question = EdgeQuestion::PassOn(Box::new(request));
    let reply = deployment.network.ask(0, question);
    let is_refused = matches!(reply, EdgeReply::Pass(PassDecision::Quarantined));
    assert!(is_refused, "{reply:?}");
    // The node that took the request refuses it as not run.
    let quarantined = AttemptEnd::Quarantined(not_run());
    let ended = EdgeQuestion::Ended(order.attempt, quarantined);
    match deployment.network.ask(6, ended) {
        EdgeReply::Step(CallStep::Refuse(refusal)) => assert!(!refusal.may_have_run()),
        reply => panic!("not refused: {reply:?}"),
    }
}

/// Whether a node quarantines a request after it has carried an attempt of it at a group of each of
/// these epochs, all with the same head, and the server has broken each connection.
fn is_quarantined_after(epochs: [u64; 3]) -> bool {
    let mut deployment = Deployment::new(7, 1);
    let (_, order) = deployment.arrive(0, POPULAR, &[]);
    let order = order.expect("a sound request");
    for (call, epoch) in (FIRST_CARRIED..).zip(epochs) {
        let request = carried_request(&order, call, GroupEpoch(epoch), &suspects(DEADLY, &[]));
        let question = EdgeQuestion::PassOn(Box::new(request));
        deployment.network.ask(0, question);
        let lost = EdgeQuestion::PassLost(CallId(call));
        deployment.network.run(deployment.network.now + 60);
        deployment.network.ask(0, lost);
        deployment.network.run(deployment.network.now + 400);
    }
    deployment.network.run(deployment.network.now + 2_000);
    deployment.is_rejected(0, DEADLY, &[])
}

#[test]
fn a_group_that_was_formed_anew_around_the_same_head_crashes_anew() {
    assert!(is_quarantined_after([1, 2, 3]), "three groups");
    assert!(!is_quarantined_after([1, 1, 2]), "two groups");
}
