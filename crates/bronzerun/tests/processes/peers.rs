//! Gateways that tell one another what the store said.

use std::time::Instant;

use serde_json::json;

use crate::support::{Fleet, FleetShape, Relay, wait_until, weddings_text};

/// Groups of the fleet.
const GROUPS: usize = 2;
/// Tokens of the answer.
const TOKENS: usize = 20;
/// Address at which nothing listens.
const NOWHERE: &str = "127.0.0.1:1";

#[test]
fn a_gateway_restarted_in_an_outage_serves_with_what_its_peers_hold() {
    let shape = FleetShape {
        gateways: 0,
        servers: 0,
        ..FleetShape::default()
    };
    let mut fleet = Fleet::start("peer-restart", shape);
    let platform = fleet.platform.address("listen");
    for node in ["entry-1", "entry-2", "entry-3"] {
        fleet.start_peer(node, &platform);
    }
    for gateway in 0..3 {
        fleet.wait_ready(gateway);
        fleet.wait_serving(gateway, GROUPS);
    }
    fleet.set_faults(&json!({"down": true}));
    fleet.gateways.pop().unwrap().process.kill();
    let restarted = Instant::now();
    fleet.start_peer("entry-3", &platform);
    fleet.wait_ready(2);
    println!("ready in an outage after {:?}", restarted.elapsed());
    fleet.wait_serving(2, GROUPS);
    let stream = fleet.caller(2).stream("chat", "gulyas", TOKENS);
    stream.expect_whole("gulyas", TOKENS);
}

#[test]
fn a_gateway_cut_off_from_the_store_hears_of_a_change_from_its_peers() {
    let mut fleet = Fleet::start("peer-change", FleetShape::plain(1, 0, 5));
    let platform = fleet.platform.address("listen");
    let relay = Relay::start(&platform);
    for (node, platform) in [
        ("entry-1", &platform),
        ("entry-2", &platform),
        ("entry-3", &relay.address),
    ] {
        fleet.start_peer(node, platform);
    }
    for gateway in 0..3 {
        fleet.wait_ready(gateway);
    }
    relay.lead_to(NOWHERE);
    fleet.put_section("weddings", &weddings_text("chat, foglalas, hidden"), 1);
    let written = Instant::now();
    let caller = fleet.caller(2);
    wait_until("the change is in force", || {
        let models = caller.call("GET", "/v1/models", &[], "");
        models.text.contains("hidden")
    });
    println!("in force without the store after {:?}", written.elapsed());
}
