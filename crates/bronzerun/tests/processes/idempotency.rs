//! Calls that may run only once, and the run state that their callers receive.

use std::io::Write;
use std::net::TcpStream;
use std::thread;

use serde_json::json;

use crate::support::{API_KEY, Caller, Fleet, FleetSpec, Reply, wait_for, wait_until};

const CHARGE: &str = "/services/foglalas/charges";
/// Retries of the call at another gateway.
const RETRIES: usize = 2;

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

/// Retries a charge while the reply reports that another attempt is running.
fn charge_until_final(caller: &Caller, key: &str) -> Reply {
    wait_for("a charge has a final outcome", || {
        let reply = charge(caller, key);
        (reply.run_state() != "running").then_some(reply)
    })
}

#[test]
fn calls_of_three_devices_with_one_key_run_once() {
    let fleet = Fleet::start("three-devices", FleetSpec::plain(3, 3, 300));
    for round in 0..5 {
        let key = format!("charge-{round}");
        let devices: Vec<_> = (0..3)
            .map(|gateway| {
                let (caller, key) = (fleet.caller(gateway), key.clone());
                thread::spawn(move || charge_until_final(&caller, &key))
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
fn a_key_reused_for_another_request_is_refused() {
    let fleet = Fleet::start("key-reused", FleetSpec::plain(1, 2, 5));
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
fn a_killed_gateway_causes_no_second_run() {
    let mut fleet = Fleet::start("gateway-killed", FleetSpec::plain(2, 2, 1_500));
    let (first, second) = (fleet.caller(0), fleet.caller(1));
    let device = thread::spawn(move || try_charge(&first, "k", "4000"));
    wait_until("the charge runs", || fleet.run_count("k") == 1);
    fleet.gateways[0].process.kill();
    assert!(device.join().unwrap().is_none());
    for _ in 0..RETRIES {
        let reply = try_charge(&second, "k", "4000").unwrap();
        assert!(
            ["running", "unknown"].contains(&reply.run_state()),
            "{reply:?}"
        );
    }
    assert_eq!(fleet.run_count("k"), 1);
}

#[test]
fn a_killed_server_causes_no_second_run() {
    let mut fleet = Fleet::start("server-killed", FleetSpec::plain(2, 2, 60_000));
    let (first, second) = (fleet.caller(0), fleet.caller(1));
    let device = thread::spawn(move || charge(&first, "k"));
    let server = wait_for("the charge runs", || {
        let servers = fleet.servers.iter();
        let mut runs = servers.map(|server| {
            let address = server.process.address("listen");
            let record = fleet.http.get_json(&address, "/emulator/runs");
            record.as_array().unwrap().len()
        });
        runs.position(|count| count == 1)
    });
    fleet.servers[server].process.kill();
    let reply = device.join().unwrap();
    assert_eq!(reply.run_state(), "unknown", "{reply:?}");
    let retried = charge_until_final(&second, "k");
    assert_eq!(retried.run_state(), "unknown", "{retried:?}");
    let (_, other) = (fleet.servers.remove(server), &fleet.servers[0]);
    let address = other.process.address("listen");
    let runs = fleet.http.get_json(&address, "/emulator/runs");
    assert_eq!(runs, json!([]), "the other server ran the charge too");
}

#[test]
fn a_caller_that_disconnected_gets_the_response_on_a_retry() {
    let fleet = Fleet::start("caller-left", FleetSpec::plain(2, 2, 1_000));
    let gateway = fleet.gateways[0].process.address("callers");
    let mut connection = TcpStream::connect(gateway).unwrap();
    let request = format!(
        "POST {CHARGE} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {API_KEY}\r\n\
         idempotency-key: k\r\ncontent-length: 1\r\n\r\nk"
    );
    connection.write_all(request.as_bytes()).unwrap();
    wait_until("the charge runs", || fleet.run_count("k") == 1);
    drop(connection);
    let reply = charge_until_final(&fleet.caller(1), "k");
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(fleet.run_count("k"), 1);
}

#[test]
fn charges_are_refused_while_the_store_is_down() {
    let fleet = Fleet::start("store-down", FleetSpec::plain(2, 2, 5));
    fleet.set_faults(&json!({"down": true}));
    let refused = charge(&fleet.caller(0), "k");
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.run_state(), "not_run");
    let repeatable = fleet
        .caller(0)
        .call("GET", "/services/foglalas/halls", &[], "");
    assert_eq!(repeatable.status, 200, "{repeatable:?}");
    assert_eq!(
        fleet.run_count("k"),
        0,
        "the charge ran although the reply said that it had not"
    );

    fleet.set_faults(&json!({}));
    let reply = wait_for("the store is back", || {
        let reply = charge(&fleet.caller(1), "k");
        (reply.run_state() != "not_run").then_some(reply)
    });
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(fleet.run_count("k"), 1);
}

#[test]
fn lost_store_requests_and_replies_cause_no_second_run() {
    for fault in ["lose_replies", "lose_requests"] {
        let fleet = Fleet::start(fault, FleetSpec::plain(2, 2, 5));
        for round in 0..5 {
            let key = format!("charge-{round}");
            fleet.set_faults(&json!({fault: 1}));
            let first = charge_until_final(&fleet.caller(0), &key);
            let is_not_run = first.run_state() == "not_run";
            let expected = if is_not_run { 0 } else { 1 };
            assert_eq!(fleet.run_count(&key), expected, "{fault}: {first:?}");
            fleet.set_faults(&json!({}));
            let retried = charge_until_final(&fleet.caller(1), &key);
            assert_eq!(fleet.run_count(&key), 1, "{fault}: {retried:?}");
            if first.status == 200 {
                assert_eq!(retried.text, first.text);
            }
        }
    }
}
