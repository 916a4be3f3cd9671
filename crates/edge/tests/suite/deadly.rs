//! A request that crashes servers, before whole deployments.

use crate::network::NodeNetwork;
use crate::support::{arrival, at, endpoint, first_attempt, list};
use base::prelude::*;
use edge::border::ports::{CollectionItem, StoreCollection};
use edge::{Arrival, ArrivalOutcome, EdgeEvent, EdgeQuestion, EdgeReply, RejectReason};
use quarantine::{PromptPart, PromptParts, RequestDigest};
use relay::{AttemptEnd, CallStep};

const DEADLY: RequestDigest = RequestDigest(7);
const POPULAR: RequestDigest = RequestDigest(8);
/// Numbers of nodes, and the time after the third crash within which all must know of it
/// (`contactMs`).
const DEPLOYMENTS: [(usize, u64); 2] = [(7, 3_000), (195, 5_000)];

/// Nodes before a plain server that starts anew after each crash.
struct Deployment {
    network: NodeNetwork,
    crashes: u64,
    calls: u64,
}

impl Deployment {
    fn new(nodes: usize) -> Self {
        let mut network = NodeNetwork::new(nodes);
        network.run(2_000);
        Self {
            network,
            crashes: 0,
            calls: 0,
        }
    }

    /// Sends a request to a node; returns its number, and whether the node sent it to the server.
    fn send(&mut self, node: usize, digest: RequestDigest) -> (CallId, bool) {
        self.send_with(node, digest, &[])
    }

    /// The same with parts of a prompt.
    fn send_with(&mut self, node: usize, digest: RequestDigest, parts: &[u64]) -> (CallId, bool) {
        self.calls += 1;
        let shared = parts.iter().copied().map(PromptPart);
        let arrival = Arrival {
            digest,
            prompt: PromptParts {
                shared: shared.collect(),
            },
            ..arrival(self.calls, "/x/", at(self.network.now))
        };
        let call = arrival.call;
        let question = EdgeQuestion::Arrive(Box::new(arrival));
        let EdgeReply::Arrival(outcome) = self.network.ask(node, question) else {
            panic!("an arrival gets its outcome");
        };
        match *outcome {
            ArrivalOutcome::Accepted {
                step: CallStep::Send(_),
                ..
            } => (call, true),
            ArrivalOutcome::Rejected(RejectReason::Quarantined { .. }) => (call, false),
            other => panic!("neither sent nor quarantined: {other:?}"),
        }
    }

    /// The server of these requests crashes; another one replaces it.
    fn crash(&mut self, calls: &[(usize, CallId)]) {
        self.network.run(self.network.now + 60);
        for (node, call) in calls {
            let ended = EdgeQuestion::Ended(first_attempt(*call), AttemptEnd::Lost);
            self.network.ask(*node, ended);
            self.network.handle(*node, EdgeEvent::Finished(*call));
        }
        self.crashes += 1;
        let id = format!("p-{}", 1 + self.crashes);
        for node in &mut self.network.nodes {
            let servers = vec![CollectionItem::Endpoint(endpoint(&id))];
            list(
                node,
                StoreCollection::Endpoints,
                servers,
                at(self.network.now),
            );
        }
    }

    /// Sends the deadly request to a node; the server crashes if it gets there.
    fn send_deadly(&mut self, node: usize) -> bool {
        let (call, is_sent) = self.send(node, DEADLY);
        if is_sent {
            self.crash(&[(node, call)]);
        }
        is_sent
    }

    fn answer(&mut self, node: usize, digest: RequestDigest) {
        let (call, is_sent) = self.send(node, digest);
        assert!(is_sent, "a sound request is rejected at node {node}");
        self.network.handle(node, EdgeEvent::Completed(call));
        self.network.handle(node, EdgeEvent::Finished(call));
    }
}

/// Crashes at nodes far apart, none of which is a hub of a large deployment.
fn deployment_after_crashes(nodes: usize) -> Deployment {
    let mut deployment = Deployment::new(nodes);
    for index in 1..=3 {
        assert!(deployment.send_deadly(nodes - index));
        deployment.network.run(deployment.network.now + 300);
    }
    deployment
}

#[test]
fn every_node_rejects_a_request_that_crashed_servers_at_three_nodes() {
    for (nodes, contact_ms) in DEPLOYMENTS {
        let mut deployment = deployment_after_crashes(nodes);
        let end = deployment.network.now + contact_ms - 300;
        deployment.network.run(end);
        for node in 0..nodes {
            assert!(!deployment.send(node, DEADLY).1, "{nodes} nodes: {node}");
            deployment.answer(node, POPULAR);
        }
    }
}

#[test]
fn no_node_forgets_a_request_that_still_comes_at_another_one() {
    for nodes in [3, 6, 12, 24] {
        let mut deployment = deployment_after_crashes(nodes);
        // The verdict on three crashes doesn't hold yet; five are certain.
        for node in [0, 1] {
            assert!(deployment.send_deadly(node), "{nodes} nodes: {node}");
        }
        let end = deployment.network.now + 70_000;
        while deployment.network.now < end {
            deployment.network.run(deployment.network.now + 5_000);
            assert!(!deployment.send(nodes - 1, DEADLY).1, "{nodes} nodes");
        }
        for node in 0..nodes {
            assert!(!deployment.send(node, DEADLY).1, "{nodes} nodes: {node}");
            deployment.answer(node, POPULAR);
        }
    }
}

#[test]
fn every_node_rejects_a_part_that_crashes_servers_which_began_to_answer() {
    for (nodes, contact_ms) in [
        (3, 3_000),
        (7, 3_000),
        (12, 3_000),
        (24, 4_000),
        (195, 5_000),
    ] {
        let mut deployment = Deployment::new(nodes);
        for index in 1..=3 {
            let node = nodes - index;
            let digest = RequestDigest(100 + index as u64);
            let (call, is_sent) = deployment.send_with(node, digest, &[1, 2]);
            assert!(is_sent, "{nodes} nodes: crash {index}");
            deployment.network.handle(node, EdgeEvent::Answered(call));
            deployment
                .network
                .handle(node, EdgeEvent::Progress(first_attempt(call)));
            deployment.crash(&[(node, call)]);
            // Another request with the first part only.
            let sound = RequestDigest(200 + index as u64);
            let (call, _) = deployment.send_with(0, sound, &[1]);
            deployment.network.handle(0, EdgeEvent::Completed(call));
            deployment.network.handle(0, EdgeEvent::Finished(call));
            deployment.network.run(deployment.network.now + 300);
        }
        deployment
            .network
            .run(deployment.network.now + contact_ms - 300);
        for node in 0..nodes {
            let digest = RequestDigest(1_000 + node as u64);
            let is_sent = |parts: &[u64], deployment: &mut Deployment| {
                let (call, is_sent) = deployment.send_with(node, digest, parts);
                deployment.network.handle(node, EdgeEvent::Finished(call));
                is_sent
            };
            assert!(!is_sent(&[1, 2], &mut deployment), "{nodes} nodes: {node}");
            assert!(is_sent(&[1], &mut deployment), "{nodes} nodes: {node}");
        }
    }
}

#[test]
fn nodes_that_start_or_were_cut_off_reject_a_request_that_crashed_servers_before() {
    for (nodes, contact_ms) in DEPLOYMENTS {
        let (started, cut_off) = (nodes - 4, nodes - 5);
        let mut deployment = Deployment::new(nodes);
        deployment.network.cut_off.insert(cut_off);
        for index in 1..=3 {
            assert!(deployment.send_deadly(nodes - index));
            deployment.network.run(deployment.network.now + 300);
        }
        // Long after the reports were sent.
        deployment.network.run(15_000);
        deployment.network.cut_off.clear();
        deployment.network.restart(started);
        deployment.network.run(15_000 + contact_ms);
        for node in [started, cut_off] {
            assert!(!deployment.send(node, DEADLY).1, "{nodes} nodes: {node}");
        }
    }
}

#[test]
fn a_popular_request_is_never_rejected_while_servers_crash_for_other_reasons() {
    for (nodes, _) in DEPLOYMENTS {
        let mut deployment = Deployment::new(nodes);
        for round in 0..12 {
            // Some nodes lose their request with the server, all others get answers.
            let losers = (0..nodes).filter(|node| (node + round) % 3 == 0);
            let calls = losers.map(|node| (node, deployment.send(node, POPULAR)));
            let calls: Vec<_> = calls.collect();
            for (node, (_, is_sent)) in &calls {
                assert!(is_sent, "{nodes} nodes, round {round}: {node}");
            }
            let calls: Vec<_> = calls
                .iter()
                .map(|(node, (call, _))| (*node, *call))
                .collect();
            deployment.crash(&calls);
            for node in (0..nodes).filter(|node| (node + round) % 3 == 1) {
                deployment.answer(node, POPULAR);
            }
            deployment.network.run(deployment.network.now + 340);
        }
    }
}

#[test]
fn a_popular_part_is_nowhere_quarantined_while_servers_crash_for_other_reasons() {
    for (nodes, _) in DEPLOYMENTS {
        let mut deployment = Deployment::new(nodes);
        for round in 0..12 {
            let losers: Vec<_> = (0..nodes).filter(|node| (node + round) % 11 == 0).collect();
            let calls = losers.into_iter().map(|node| {
                let digest = RequestDigest(1_000_000 + deployment.calls);
                (node, deployment.send_with(node, digest, &[1]).0)
            });
            let calls: Vec<_> = calls.collect();
            deployment.crash(&calls);
            // One node sees an answer, which is no hub and has lost no request.
            let mut others = (4..nodes).filter(|node| (node + round) % 11 == 1);
            let node = others.nth(round % 3).unwrap_or(nodes - 1);
            let digest = RequestDigest(2_000_000 + deployment.calls);
            let (call, is_sent) = deployment.send_with(node, digest, &[1]);
            assert!(is_sent, "a sound request is rejected at node {node}");
            deployment.network.handle(node, EdgeEvent::Completed(call));
            deployment.network.handle(node, EdgeEvent::Finished(call));
            deployment.network.run(deployment.network.now + 340);
        }
        assert_eq!(deployment.network.quarantined, 0, "{nodes} nodes");
    }
}
