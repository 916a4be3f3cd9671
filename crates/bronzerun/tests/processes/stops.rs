//! Planned stops with calls in flight.

use std::thread;

use serde_json::json;

use crate::groups::lease_holders;
use crate::support::{Fleet, FleetShape, wait_for, wait_until};

/// Tokens of a stream that outlives the balancer's notice.
const LONG_STREAM: usize = 120;

/// Stops a gateway twice in a row with streams and a charge in flight.
fn stop_gateway(name: &str, store_down: bool) {
    let mut fleet = Fleet::start(
        name,
        FleetShape {
            call_ms: 3_000,
            ..FleetShape::default()
        },
    );
    let caller = fleet.caller(0);
    let streams: Vec<_> = (0..6)
        .map(|index| format!("prompt {index}"))
        .map(|prompt| (prompt.clone(), caller.stream("chat", &prompt, LONG_STREAM)))
        .collect();
    let charging = caller.clone();
    let plain = thread::spawn(move || {
        let headers = [("idempotency-key", "k")];
        charging.call("POST", "/services/foglalas/charges", &headers, "k")
    });
    for (_, stream) in &streams {
        stream.wait_tokens(1);
    }
    wait_until("the charge runs", || fleet.run_count("k") == 1);
    if store_down {
        fleet.set_faults(&json!({"down": true}));
    }
    let gateway = &fleet.gateways[0].process;
    gateway.terminate();
    wait_until("the gateway is unready", || !fleet.is_ready(0));
    let late = caller.stream("chat", "late", 5);
    late.wait_tokens(1);
    gateway.terminate();
    for (prompt, stream) in streams {
        stream.expect_whole(&prompt, LONG_STREAM);
    }
    late.expect_whole("late", 5);
    let charged = plain.join().unwrap();
    if !store_down {
        assert_eq!(charged.status, 200, "{charged:?}");
    }
    assert_ne!(charged.run(), "not_run", "{charged:?}");
    let status = fleet.gateways[0].process.wait_end();
    assert_eq!(status.code(), Some(0));
    assert_eq!(fleet.run_count("k"), 1);
}

#[test]
fn a_stopped_gateway_cuts_no_call() {
    stop_gateway("gateway-stopped", false);
}

#[test]
fn a_gateway_stopped_without_a_store_cuts_no_call() {
    stop_gateway("gateway-stopped-store-down", true);
}

#[test]
fn a_stopped_controller_gives_its_leases_back() {
    let shape = FleetShape {
        controllers: 2,
        ..FleetShape::default()
    };
    let mut fleet = Fleet::start("controller-stopped", shape);
    let caller = fleet.caller(0);
    let stream = caller.stream("chat", "on", LONG_STREAM);
    let holder = wait_for("a controller holds a lease", || {
        lease_holders(&fleet)
            .into_iter()
            .find(|name| !name.is_empty())
    });
    let mut nodes = fleet.controllers.iter();
    let index = nodes.position(|node| node.name == holder).unwrap();
    fleet.controllers[index].process.terminate();
    fleet.controllers[index].process.terminate();
    let status = fleet.controllers[index].process.wait_end();
    assert_eq!(status.code(), Some(0));
    let holders = lease_holders(&fleet);
    assert!(!holders.contains(&holder), "a lease was kept: {holders:?}");
    wait_until("the other controller has every lease", || {
        let holders = lease_holders(&fleet);
        holders
            .iter()
            .all(|name| !name.is_empty() && *name != holder)
    });
    stream.expect_whole("on", LONG_STREAM);
}

#[test]
fn a_controller_stops_without_a_store() {
    let mut fleet = Fleet::start("controller-stopped-store-down", FleetShape::default());
    let stream = fleet.caller(0).stream("chat", "on", LONG_STREAM);
    fleet.set_faults(&json!({"down": true}));
    let controller = &mut fleet.controllers[0].process;
    controller.terminate();
    controller.terminate();
    assert_eq!(controller.wait_end().code(), Some(0));
    stream.expect_whole("on", LONG_STREAM);
}
