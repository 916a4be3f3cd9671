//! Nodes that reach no server, in whole deployments.

use std::collections::BTreeSet;

use crate::network::{FIRST_PASSING_PORT, NodeNetwork};
use crate::support::{apply_event, arrival, at, endpoint, list, not_run, pass_request};
use base::prelude::ObjectVersion;
use edge::border::ports::{CollectionItem, StoreCollection};
use edge::{
    ArrivalOutcome, CollectionEvent, EdgeEvent, EdgeQuestion, EdgeReply, EdgeStatus, PassDecision,
};
use relay::{AttemptEnd, CallStep, SendOrder};

/// Numbers of nodes, and `contactMs` there.
const DEPLOYMENTS: [(usize, u64); 2] = [(7, 3_000), (195, 5_000)];
const SERVERS: usize = 12;

/// Nodes before plain servers, some of which are partitioned from all servers.
struct Deployment {
    network: NodeNetwork,
    calls: u64,
}

impl Deployment {
    fn new(nodes: usize) -> Self {
        let mut network = NodeNetwork::new(nodes);
        let servers = (0..SERVERS).map(|index| endpoint(&format!("p-{index}")));
        let servers: Vec<_> = servers.map(CollectionItem::Endpoint).collect();
        for node in &mut network.nodes {
            let items = servers.clone();
            list(node, StoreCollection::Endpoints, items, at(0));
        }
        network.run(2_000);
        Self { network, calls: 0 }
    }

    fn partition(&mut self, nodes: impl Iterator<Item = usize>) {
        self.network.partitioned = nodes.collect();
    }

    /// Sends a request to a node and plays its attempts; returns whether a server gets it.
    fn is_served(&mut self, node: usize) -> bool {
        self.calls += 1;
        let arrival = arrival(self.calls, "/x/", at(self.network.now));
        let call = arrival.call;
        let question = EdgeQuestion::Arrive(Box::new(arrival));
        let EdgeReply::Arrival(outcome) = self.network.ask(node, question) else {
            panic!("an arrival gets its outcome");
        };
        let ArrivalOutcome::Accepted { mut step, .. } = *outcome else {
            panic!("the request is accepted");
        };
        let is_served = loop {
            let CallStep::Send(order) = step else {
                break false;
            };
            let attempt = order.attempt;
            let Some(end) = self.play_attempt(node, &order) else {
                break true;
            };
            let ended = EdgeQuestion::Ended(attempt, end);
            let EdgeReply::Step(next) = self.network.ask(node, ended) else {
                panic!("an attempt's end gets a step");
            };
            step = next;
        };
        self.network.handle(node, EdgeEvent::Finished(call));
        is_served
    }

    /// How an attempt ends; `None` if the server gets the request.
    fn play_attempt(&mut self, node: usize, order: &SendOrder) -> Option<AttemptEnd> {
        let partitioned = &self.network.partitioned;
        let Some(via) = order.via else {
            return partitioned
                .contains(&node)
                .then_some(AttemptEnd::NotSent(not_run()));
        };
        let other = usize::from(via.port() - FIRST_PASSING_PORT);
        // Numbers of the other node's own requests are below these.
        let request = pass_request(1_000_000 + self.calls, order);
        let question = EdgeQuestion::PassOn(Box::new(request));
        match self.network.ask(other, question) {
            EdgeReply::Pass(PassDecision::Send { .. })
                if self.network.partitioned.contains(&other) =>
            {
                let failed = EdgeEvent::PassFailed(order.target.clone());
                self.network.handle(other, failed);
                Some(AttemptEnd::NotSent(not_run()))
            }
            EdgeReply::Pass(PassDecision::Send { .. }) => None,
            EdgeReply::Pass(PassDecision::Refuse) => Some(AttemptEnd::NotPassedOn(not_run())),
            reply => panic!("another reply: {reply:?}"),
        }
    }

    /// Sends requests to all nodes for a while; returns those served and all, at partitioned
    /// nodes and at the others.
    fn serve_all(&mut self, duration_ms: u64) -> [(usize, usize); 2] {
        let mut counts = [(0, 0); 2];
        let end = self.network.now + duration_ms;
        while self.network.now < end {
            self.network.run(self.network.now + 100);
            self.answer_watches();
            for node in 0..self.network.nodes.len() {
                let is_partitioned = self.network.partitioned.contains(&node);
                let is_served = self.is_served(node);
                let (served, all) = &mut counts[usize::from(!is_partitioned)];
                *served += usize::from(is_served);
                *all += 1;
            }
        }
        counts
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

    fn status(&mut self, node: usize) -> EdgeStatus {
        match self.network.ask(node, EdgeQuestion::Status) {
            EdgeReply::Status(status) => status,
            reply => panic!("another reply: {reply:?}"),
        }
    }

    fn owners(&mut self) -> BTreeSet<usize> {
        let nodes = 0..self.network.nodes.len();
        nodes.filter(|node| self.status(*node).is_owner).collect()
    }
}

#[test]
fn requests_at_partitioned_nodes_are_passed_on_and_the_others_lose_nothing() {
    for (nodes, contact_ms) in DEPLOYMENTS {
        // One node, which owns the groups; a part of them; most of them.
        for partitioned in [1, nodes / 3, nodes * 3 / 4] {
            let mut deployment = Deployment::new(nodes);
            deployment.partition(0..partitioned);
            deployment.serve_all(contact_ms);
            let [(served, all), (others_served, others)] = deployment.serve_all(500);
            let name = format!("{partitioned} of {nodes}: {served} of {all}");
            assert!(served * 50 >= all * 49, "{name}");
            assert_eq!(others_served, others, "{name}");
        }
    }
}

#[test]
fn a_partitioned_owner_leaves_the_groups_to_a_node_that_reaches_servers() {
    for (nodes, contact_ms) in DEPLOYMENTS {
        let mut deployment = Deployment::new(nodes);
        let owners = deployment.owners();
        assert_eq!(owners.len(), 1, "{nodes} nodes");
        deployment.partition(owners.iter().copied());
        deployment.serve_all(contact_ms);
        let others = deployment.owners();
        assert_eq!(others.len(), 1, "{nodes} nodes");
        assert!(others.is_disjoint(&owners), "{nodes} nodes");
    }
}

#[test]
fn requests_are_sent_directly_again_after_the_partition() {
    for (nodes, contact_ms) in DEPLOYMENTS {
        let mut deployment = Deployment::new(nodes);
        deployment.partition(0..2);
        deployment.serve_all(contact_ms);
        deployment.partition(0..0);
        deployment.serve_all(contact_ms);
        // No node would pass anything on now.
        for node in 0..2 {
            let arrival = arrival(1_000_000 + node as u64, "/x/", at(deployment.network.now));
            let question = EdgeQuestion::Arrive(Box::new(arrival));
            let reply = deployment.network.ask(node, question);
            let EdgeReply::Arrival(outcome) = reply else {
                panic!("an arrival gets its outcome");
            };
            let ArrivalOutcome::Accepted {
                step: CallStep::Send(order),
                ..
            } = *outcome
            else {
                panic!("the request is sent");
            };
            assert_eq!(order.via, None, "{nodes} nodes");
        }
    }
}

#[test]
fn where_no_node_reaches_servers_one_of_them_still_owns_the_groups() {
    let mut deployment = Deployment::new(7);
    deployment.partition(0..7);
    let [(served, _), _] = deployment.serve_all(3_000);
    assert_eq!(served, 0);
    assert_eq!(deployment.owners().len(), 1);
}
