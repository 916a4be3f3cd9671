//! Gateways that exchange with their peers what they have read from the store.

use std::time::Instant;

use serde_json::json;

use crate::support::{Fleet, FleetSpec, TcpProxy, wait_until, weddings_text};

const GROUPS: usize = 2;
const TOKENS: usize = 20;
/// Address with no listener.
const CLOSED_ADDRESS: &str = "127.0.0.1:1";

#[test]
fn a_gateway_restarted_in_an_outage_gets_its_state_from_its_peers() {
    let spec = FleetSpec {
        gateways: 0,
        servers: 0,
        ..FleetSpec::default()
    };
    let mut fleet = Fleet::start("peer-restart", spec);
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
    stream.expect_complete("gulyas", TOKENS);
}

#[test]
fn a_gateway_cut_off_from_the_store_receives_changes_from_its_peers() {
    let mut fleet = Fleet::start("peer-change", FleetSpec::plain(1, 0, 5));
    let platform = fleet.platform.address("listen");
    let proxy = TcpProxy::start(&platform);
    for (node, platform) in [
        ("entry-1", &platform),
        ("entry-2", &platform),
        ("entry-3", &proxy.address),
    ] {
        fleet.start_peer(node, platform);
    }
    for gateway in 0..3 {
        fleet.wait_ready(gateway);
    }
    proxy.redirect_to(CLOSED_ADDRESS);
    fleet.put_section("weddings", &weddings_text("chat, foglalas, hidden"), 1);
    let written = Instant::now();
    let caller = fleet.caller(2);
    wait_until("the change is in force", || {
        let models = caller.call("GET", "/v1/models", &[], "");
        models.text.contains("hidden")
    });
    println!("in force without the store after {:?}", written.elapsed());
}
