//! Graceful shutdown with calls in flight.

use std::thread;

use serde_json::json;

use crate::groups::lease_holders;
use crate::support::{Fleet, FleetSpec, wait_for, wait_until};

/// Tokens of a stream that lasts longer than the balancer's notice period.
const LONG_STREAM: usize = 120;

/// Sends SIGTERM to a gateway twice, with streams and a charge in flight, and checks that
/// the streams complete and the charge runs once.
fn stop_gateway(name: &str, store_down: bool) {
    let mut fleet = Fleet::start(
        name,
        FleetSpec {
            call_ms: 3_000,
            ..FleetSpec::default()
        },
    );
    let caller = fleet.caller(0);
    let streams: Vec<_> = (0..6)
        .map(|index| format!("prompt {index}"))
        .map(|prompt| (prompt.clone(), caller.stream("chat", &prompt, LONG_STREAM)))
        .collect();
    let charging = caller.clone();
    let charge = thread::spawn(move || {
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
    wait_until("the gateway is not ready", || !fleet.is_ready(0));
    let late = caller.stream("chat", "late", 5);
    late.wait_tokens(1);
    gateway.terminate();
    for (prompt, stream) in streams {
        stream.expect_complete(&prompt, LONG_STREAM);
    }
    late.expect_complete("late", 5);
    let charged = charge.join().unwrap();
    if !store_down {
        assert_eq!(charged.status, 200, "{charged:?}");
    }
    assert_ne!(charged.run_state(), "not_run", "{charged:?}");
    let status = fleet.gateways[0].process.wait_exit();
    assert_eq!(status.code(), Some(0));
    assert_eq!(fleet.run_count("k"), 1);
}

#[test]
fn a_stopped_gateway_interrupts_no_call() {
    stop_gateway("gateway-stopped", false);
}

#[test]
fn a_gateway_stopped_during_a_store_outage_interrupts_no_call() {
    stop_gateway("gateway-stopped-store-down", true);
}

#[test]
fn a_stopped_controller_releases_its_leases() {
    let spec = FleetSpec {
        controllers: 2,
        ..FleetSpec::default()
    };
    let mut fleet = Fleet::start("controller-stopped", spec);
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
    let status = fleet.controllers[index].process.wait_exit();
    assert_eq!(status.code(), Some(0));
    let holders = lease_holders(&fleet);
    assert!(
        !holders.contains(&holder),
        "the stopped controller still holds a lease: {holders:?}"
    );
    wait_until("the other controller has every lease", || {
        let holders = lease_holders(&fleet);
        holders
            .iter()
            .all(|name| !name.is_empty() && *name != holder)
    });
    stream.expect_complete("on", LONG_STREAM);
}

#[test]
fn a_controller_stops_during_a_store_outage() {
    let mut fleet = Fleet::start("controller-stopped-store-down", FleetSpec::default());
    let stream = fleet.caller(0).stream("chat", "on", LONG_STREAM);
    fleet.set_faults(&json!({"down": true}));
    let controller = &mut fleet.controllers[0].process;
    controller.terminate();
    controller.terminate();
    assert_eq!(controller.wait_exit().code(), Some(0));
    stream.expect_complete("on", LONG_STREAM);
}
