//! Calls that may run only once, and what their callers are told.

use std::thread;

use serde_json::json;

use crate::support::{Caller, Fleet, FleetShape, Reply, wait_for, wait_until};

const CHARGE: &str = "/services/foglalas/charges";
/// Times that another gateway is asked for an outcome.
const ASKS: usize = 2;

/// Sends a charge whose body is its idempotency key.
fn try_charge(caller: &Caller, key: &str, timeout_ms: &str) -> Option<Reply> {
    let headers = [
        ("idempotency-key", key),
        ("x-bronzerun-timeout-ms", timeout_ms),
    ];
    caller.try_call("POST", CHARGE, &headers, key)
}

fn charge(caller: &Caller, key: &str) -> Reply {
    try_charge(caller, key, "30000").unwrap()
}

/// Asks again while another attempt is said to be running.
fn charge_until_settled(caller: &Caller, key: &str) -> Reply {
    wait_for("a charge is settled", || {
        let reply = charge(caller, key);
        (reply.run() != "running").then_some(reply)
    })
}

#[test]
fn three_devices_with_one_key_see_one_run() {
    let fleet = Fleet::start("three-devices", FleetShape::plain(3, 3, 300));
    for round in 0..5 {
        let key = format!("charge-{round}");
        let devices: Vec<_> = (0..3)
            .map(|gateway| {
                let (caller, key) = (fleet.caller(gateway), key.clone());
                thread::spawn(move || charge_until_settled(&caller, &key))
            })
            .collect();
        let replies: Vec<Reply> = devices
            .into_iter()
            .map(|device| device.join().unwrap())
            .collect();
        for reply in &replies {
            assert_eq!(reply.status, 200, "{reply:?}");
            assert_eq!(reply.text, replies[0].text);
        }
        assert_eq!(fleet.run_count(&key), 1);
    }
}

#[test]
fn a_key_of_another_request_is_refused() {
    let fleet = Fleet::start("key-reused", FleetShape::plain(1, 2, 5));
    assert_eq!(charge(&fleet.caller(0), "k").status, 200);
    let headers = [("idempotency-key", "k")];
    let other = fleet
        .caller(1)
        .call("POST", CHARGE, &headers, "another body");
    assert_eq!(other.status, 422, "{other:?}");
    assert_eq!(other.code(), "idempotency_key_reused");
    assert_eq!(fleet.runs().len(), 1);
}

#[test]
fn a_killed_gateway_leaves_no_second_run() {
    let mut fleet = Fleet::start("gateway-killed", FleetShape::plain(2, 2, 1_500));
    let (first, second) = (fleet.caller(0), fleet.caller(1));
    let device = thread::spawn(move || try_charge(&first, "k", "4000"));
    wait_until("the charge runs", || fleet.run_count("k") == 1);
    fleet.gateways[0].process.kill();
    assert!(device.join().unwrap().is_none());
    for _ in 0..ASKS {
        let told = try_charge(&second, "k", "4000").unwrap();
        assert!(["running", "unknown"].contains(&told.run()), "{told:?}");
    }
    assert_eq!(fleet.run_count("k"), 1);
}

#[test]
fn a_killed_server_leaves_no_second_run() {
    let mut fleet = Fleet::start("server-killed", FleetShape::plain(2, 2, 60_000));
    let (first, second) = (fleet.caller(0), fleet.caller(1));
    let device = thread::spawn(move || charge(&first, "k"));
    let server = wait_for("the charge runs", || {
        let servers = fleet.servers.iter();
        let mut runs = servers.map(|server| {
            let address = server.process.address("listen");
            let record = fleet.web.get_json(&address, "/emulator/runs");
            record.as_array().unwrap().len()
        });
        runs.position(|count| count == 1)
    });
    fleet.servers[server].process.kill();
    let told = device.join().unwrap();
    assert_eq!(told.run(), "unknown", "{told:?}");
    let again = charge_until_settled(&second, "k");
    assert_eq!(again.run(), "unknown", "{again:?}");
    let (_, other) = (fleet.servers.remove(server), &fleet.servers[0]);
    let record = other.process.address("listen");
    let runs = fleet.web.get_json(&record, "/emulator/runs");
    assert_eq!(runs, json!([]), "the other server ran it too");
}

#[test]
fn nothing_runs_once_the_store_is_down() {
    let fleet = Fleet::start("store-down", FleetShape::plain(2, 2, 5));
    fleet.set_faults(&json!({"down": true}));
    let refused = charge(&fleet.caller(0), "k");
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.run(), "not_run");
    let repeatable = fleet
        .caller(0)
        .call("GET", "/services/foglalas/halls", &[], "");
    assert_eq!(repeatable.status, 200, "{repeatable:?}");
    assert_eq!(fleet.run_count("k"), 0, "it was said not to have run");

    fleet.set_faults(&json!({}));
    let reply = wait_for("the store is back", || {
        let reply = charge(&fleet.caller(1), "k");
        (reply.run() != "not_run").then_some(reply)
    });
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(fleet.run_count("k"), 1);
}

#[test]
fn lost_replies_of_the_store_lead_to_no_second_run() {
    for fault in ["lose_replies", "lose_requests"] {
        let fleet = Fleet::start(fault, FleetShape::plain(2, 2, 5));
        for round in 0..5 {
            let key = format!("charge-{round}");
            fleet.set_faults(&json!({fault: 1}));
            let first = charge_until_settled(&fleet.caller(0), &key);
            let told_not_run = first.run() == "not_run";
            let expected = if told_not_run { 0 } else { 1 };
            assert_eq!(fleet.run_count(&key), expected, "{fault}: {first:?}");
            fleet.set_faults(&json!({}));
            let again = charge_until_settled(&fleet.caller(1), &key);
            assert_eq!(fleet.run_count(&key), 1, "{fault}: {again:?}");
            if first.status == 200 {
                assert_eq!(again.text, first.text);
            }
        }
    }
}
