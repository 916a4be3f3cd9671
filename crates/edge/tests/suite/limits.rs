//! Nodes that exchange digests before one server that names a limit, without a network.

use std::collections::BTreeMap;

use crate::network::{NodeNetwork, TICK_MS};
use crate::support::{arrival, at};
use base::prelude::*;
use edge::{ArrivalOutcome, EdgeEvent, EdgeQuestion, EdgeReply};
use notices::{RequestRate, ServerNotice, ServerRun};
use relay::CallStep;

const WINDOW_MS: u64 = 4_000;
/// Time that the server takes for a response.
const RESPONSE_MS: u64 = 100;

/// Nodes, the messages between them, and the server's view.
struct Deployment {
    network: NodeNetwork,
    /// Requests a second at each node.
    rates: Vec<f64>,
    limit: Option<RequestRate>,
    responses: BTreeMap<u64, Vec<(usize, CallId, Option<RequestRate>)>>,
    next_call: u64,
    arrivals: Vec<u64>,
    refused: usize,
}

impl Deployment {
    fn new(rates: Vec<f64>) -> Self {
        Self {
            network: NodeNetwork::new(rates.len()),
            rates,
            limit: None,
            responses: BTreeMap::new(),
            next_call: 0,
            arrivals: Vec::new(),
            refused: 0,
        }
    }

    fn restart(&mut self, index: usize) {
        self.network.restart(index);
        let lost = |(node, ..): &(usize, CallId, Option<RequestRate>)| *node != index;
        for responses in self.responses.values_mut() {
            responses.retain(lost);
        }
    }

    fn run(&mut self, until: u64) {
        while self.network.now < until {
            self.network.advance();
            for (index, call, limit) in self.responses.remove(&self.network.now).unwrap_or_default()
            {
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
                self.network.handle(index, announced);
                self.network.handle(index, EdgeEvent::Finished(call));
            }
            for index in 0..self.network.nodes.len() {
                self.network.wake(index);
                self.send_requests(index);
            }
        }
    }

    fn send_requests(&mut self, index: usize) {
        let due =
            |now: u64| (self.rates[index] * now as f64 / 1_000.0 + index as f64 * 0.37) as u64;
        let now = self.network.now;
        for _ in due(now - TICK_MS)..due(now) {
            self.next_call += 1;
            let arrival = arrival(self.next_call, "/x/", at(now));
            let call = arrival.call;
            let question = EdgeQuestion::Arrive(Box::new(arrival));
            let EdgeReply::Arrival(outcome) = self.network.ask(index, question) else {
                panic!("an arrival gets its outcome");
            };
            let ArrivalOutcome::Accepted { step, .. } = *outcome else {
                panic!("the route exists");
            };
            if let CallStep::Send(_) = step {
                self.arrivals.push(now);
                let response = (index, call, self.limit);
                let at = now + RESPONSE_MS;
                self.responses.entry(at).or_default().push(response);
            } else {
                self.refused += 1;
                self.network.handle(index, EdgeEvent::Finished(call));
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
    deployment.network.cut_off.extend([1, 4]);
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
