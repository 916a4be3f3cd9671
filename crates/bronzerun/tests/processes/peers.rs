//! Gateways that tell one another what the store said.

use std::time::Instant;

use serde_json::json;

use crate::support::{Fleet, FleetShape};

/// Groups of the fleet.
const GROUPS: usize = 2;
/// Tokens of the answer.
const TOKENS: usize = 20;

/// Adds a gateway with those already there as its seeds.
fn add_peer(fleet: &mut Fleet, node: &str) {
    let gateways = fleet.gateways.iter();
    let seeds: Vec<_> = gateways
        .map(|gateway| gateway.process.address("peers"))
        .collect();
    let gateway = fleet.start_peer(node, &seeds);
    fleet.gateways.push(gateway);
}

#[test]
fn a_gateway_restarted_in_an_outage_serves_with_what_its_peers_hold() {
    let shape = FleetShape {
        gateways: 0,
        servers: 0,
        ..FleetShape::default()
    };
    let mut fleet = Fleet::start("peer-restart", shape);
    for node in ["entry-1", "entry-2", "entry-3"] {
        add_peer(&mut fleet, node);
    }
    for gateway in 0..3 {
        fleet.wait_ready(gateway);
        fleet.wait_serving(gateway, GROUPS);
    }
    fleet.set_faults(&json!({"down": true}));
    fleet.gateways.pop().unwrap().process.kill();
    let restarted = Instant::now();
    add_peer(&mut fleet, "entry-3");
    fleet.wait_ready(2);
    println!("ready in an outage after {:?}", restarted.elapsed());
    fleet.wait_serving(2, GROUPS);
    let stream = fleet.caller(2).stream("chat", "gulyas", TOKENS);
    stream.expect_whole("gulyas", TOKENS);
}
