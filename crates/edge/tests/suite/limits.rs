//! Nodes that exchange digests before one server that names a limit, without a network.

use std::collections::{BTreeMap, BTreeSet};

use crate::support::{arrival, at, config_item, endpoint, list, settings};
use base::prelude::*;
use edge::border::ports::{CollectionItem, StoreCollection};
use edge::{
    ArrivalOutcome, EdgeEffect, EdgeEvent, EdgeQuestion, EdgeReply, EdgeSettings, EdgeState,
    EdgeTimes, PeerMessage,
};
use notices::{RequestRate, ServerNotice, ServerRun};
use relay::CallStep;
use store::{ObjectKey, StoredObject};

const TICK_MS: u64 = 20;
const WINDOW_MS: u64 = 4_000;
/// Time that the server takes for a response.
const RESPONSE_MS: u64 = 100;
const FIRST_PORT: u16 = 1_000;

/// Nodes, the messages between them, and the server's view.
struct Deployment {
    nodes: Vec<EdgeState>,
    /// Requests a second at each node.
    rates: Vec<f64>,
    limit: Option<RequestRate>,
    /// Nodes that reach no other node, nor are reached.
    cut_off: BTreeSet<usize>,
    in_flight: Vec<(usize, PeerMessage)>,
    responses: BTreeMap<u64, Vec<(usize, CallId, Option<RequestRate>)>>,
    next_call: u64,
    arrivals: Vec<u64>,
    refused: usize,
    now: u64,
}

impl Deployment {
    fn new(rates: Vec<f64>) -> Self {
        let nodes = (0..rates.len()).map(|index| start(index, rates.len(), 0));
        Self {
            nodes: nodes.collect(),
            rates,
            limit: None,
            cut_off: BTreeSet::new(),
            in_flight: Vec::new(),
            responses: BTreeMap::new(),
            next_call: 0,
            arrivals: Vec::new(),
            refused: 0,
            now: 0,
        }
    }

    fn restart(&mut self, index: usize) {
        self.nodes[index] = start(index, self.nodes.len(), self.now);
        let lost = |(node, ..): &(usize, CallId, Option<RequestRate>)| *node != index;
        for responses in self.responses.values_mut() {
            responses.retain(lost);
        }
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += TICK_MS;
            for (index, message) in std::mem::take(&mut self.in_flight) {
                let effects = self.nodes[index].handle(EdgeEvent::Peer(message), at(self.now));
                self.execute(index, effects);
            }
            for (index, call, limit) in self.responses.remove(&self.now).unwrap_or_default() {
                let announced = EdgeEvent::Announced {
                    run: ServerRun {
                        server: HostName::new("p-1").unwrap(),
                        incarnation: HostIncarnation(1),
                    },
                    id: "request".into(),
                    notice: ServerNotice {
                        limit,
                        ..ServerNotice::default()
                    },
                };
                let effects = self.nodes[index].handle(announced, at(self.now));
                self.execute(index, effects);
                self.nodes[index].handle(EdgeEvent::Finished(call), at(self.now));
            }
            for index in 0..self.nodes.len() {
                let due = self.nodes[index].next_deadline();
                if due.is_some_and(|due| due <= at(self.now)) {
                    let effects = self.nodes[index].wake(at(self.now));
                    self.execute(index, effects);
                }
                self.send_requests(index);
            }
        }
    }

    fn execute(&mut self, index: usize, effects: Vec<EdgeEffect>) {
        for effect in effects {
            if let EdgeEffect::Send { to, message } = effect {
                let receiver = usize::from(to.port() - FIRST_PORT);
                if !self.cut_off.contains(&index) && !self.cut_off.contains(&receiver) {
                    self.in_flight.push((receiver, message));
                }
            }
        }
    }

    fn send_requests(&mut self, index: usize) {
        let due =
            |now: u64| (self.rates[index] * now as f64 / 1_000.0 + index as f64 * 0.37) as u64;
        for _ in due(self.now - TICK_MS)..due(self.now) {
            self.next_call += 1;
            let arrival = arrival(self.next_call, "/x/", at(self.now));
            let call = arrival.call;
            let question = EdgeQuestion::Arrive(Box::new(arrival));
            let effects = self.nodes[index].handle(EdgeEvent::Asked(1, question), at(self.now));
            let Some(EdgeEffect::Reply(_, EdgeReply::Arrival(outcome))) =
                effects.into_iter().next()
            else {
                panic!("a question gets a reply at once");
            };
            let ArrivalOutcome::Accepted { step, .. } = *outcome else {
                panic!("the route exists");
            };
            if let CallStep::Send(_) = step {
                self.arrivals.push(self.now);
                let response = (index, call, self.limit);
                let at = self.now + RESPONSE_MS;
                self.responses.entry(at).or_default().push(response);
            } else {
                self.refused += 1;
                self.nodes[index].handle(EdgeEvent::Finished(call), at(self.now));
            }
        }
    }

    /// Most requests that reached the server in four seconds, counted from an instant on.
    fn most_in_a_window(&self, from: u64) -> usize {
        let counted: Vec<_> = self.arrivals.iter().filter(|at| **at >= from).collect();
        let counts = counted.iter().enumerate().map(|(index, start)| {
            let window = counted[index..].iter();
            window.take_while(|at| **at - **start < WINDOW_MS).count()
        });
        counts.max().unwrap_or(0)
    }
}

fn start(index: usize, count: usize, now: u64) -> EdgeState {
    let capacity = |index: usize| if index < 4 { 500 } else { 200 };
    let settings = EdgeSettings {
        capacity: capacity(index),
        ..settings(&format!("n{index:03}"))
    };
    let mut state = EdgeState::new(settings, EdgeTimes::default(), index as u64, at(now));
    let config = vec![config_item(1, "/x/")];
    list(&mut state, StoreCollection::RoutingConfig, config, at(now));
    let endpoints = vec![CollectionItem::Endpoint(endpoint("p-1"))];
    list(&mut state, StoreCollection::Endpoints, endpoints, at(now));
    let entries = (0..count).map(|other| {
        let (port, rank) = (usize::from(FIRST_PORT) + other, capacity(other));
        CollectionItem::Shared(StoredObject {
            key: ObjectKey::new(&format!("node.n{other:03}")),
            version: ObjectVersion(1),
            value: format!(r#"{{"address":"127.0.0.1:{port}","rank":{rank}}}"#).into(),
        })
    });
    list(
        &mut state,
        StoreCollection::Shared,
        entries.collect(),
        at(now),
    );
    state
}

fn allowed(limit: f64) -> usize {
    (1.5 * 4.0 * limit + 5.0) as usize
}

/// Deployment whose server names a limit from the third second on; runs it up to the fourth.
fn limited_deployment(rates: Vec<f64>, limit: f64) -> Deployment {
    let mut deployment = Deployment::new(rates);
    deployment.run(2_000);
    deployment.limit = RequestRate::new(limit);
    deployment.run(3_000);
    deployment
}

#[test]
fn the_sum_over_a_few_nodes_keeps_the_limit_and_uses_it() {
    let rates = vec![20.0, 3.0, 9.0, 5.0, 1.0, 12.0, 4.0];
    let mut deployment = limited_deployment(rates, 3.7);
    deployment.run(14_000);
    let most = deployment.most_in_a_window(3_000);
    assert!(most <= allowed(3.7), "{most} in four seconds");
    let used = deployment
        .arrivals
        .iter()
        .filter(|at| **at >= 4_000)
        .count();
    assert!(used >= 30, "{used} of 37 requests in ten seconds");
}

#[test]
fn the_sum_over_many_nodes_keeps_the_limit_and_uses_it() {
    let mut deployment = limited_deployment(vec![1.5; 60], 3.7);
    deployment.run(11_000);
    let most = deployment.most_in_a_window(3_000);
    assert!(most <= allowed(3.7), "{most} in four seconds");
    let used = deployment
        .arrivals
        .iter()
        .filter(|at| **at >= 4_000)
        .count();
    assert!(used >= 18, "{used} of 26 requests in seven seconds");
}

#[test]
fn nodes_that_start_anew_keep_the_limit() {
    let mut deployment = limited_deployment(vec![10.0; 7], 2.0);
    for second in 3..10 {
        deployment.restart(second % 7);
        deployment.run(second as u64 * 1_000 + 1_000);
    }
    let most = deployment.most_in_a_window(3_000);
    assert!(most <= allowed(2.0), "{most} in four seconds");
}

#[test]
fn nodes_that_are_cut_off_keep_their_shares() {
    let mut deployment = limited_deployment(vec![10.0; 7], 4.0);
    deployment.cut_off.extend([1, 4]);
    deployment.run(14_000);
    let most = deployment.most_in_a_window(3_000);
    assert!(most <= allowed(4.0), "{most} in four seconds");
}

#[test]
fn a_node_that_has_sent_the_server_nothing_knows_its_limit() {
    let mut rates = vec![10.0; 7];
    rates[6] = 0.0;
    let mut deployment = limited_deployment(rates, 1.0);
    deployment.rates[6] = 50.0;
    deployment.run(4_000);
    let arrivals = deployment.arrivals.iter().filter(|at| **at >= 3_000);
    assert!(arrivals.count() <= 5);
}

#[test]
fn a_limit_that_one_node_heard_end_ends_everywhere() {
    let mut deployment = limited_deployment(vec![2.0; 7], 2.0);
    deployment.run(6_000);
    deployment.limit = None;
    deployment.run(8_000);
    let refused = deployment.refused;
    deployment.run(12_000);
    assert_eq!(deployment.refused, refused);
}
