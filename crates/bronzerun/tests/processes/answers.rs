//! Answers that come late, to the wrong call, or in pieces.

use std::time::Duration;

use serde_json::json;

use crate::support::{Endpoint, Fleet, FleetShape, wait_until};

/// Time that a call gives its endpoint, in milliseconds.
const SHORT_MS: &str = "300";
/// Delay of an answer that comes after its call was given up.
const LATE: Duration = Duration::from_millis(900);

/// Fleet whose only server is held by the test.
fn start_held(name: &str) -> (Fleet, Endpoint) {
    let fleet = Fleet::start(name, FleetShape::plain(0, 1, 5));
    let endpoint = Endpoint::start();
    fleet.list_host(&json!({
        "host": "held",
        "address": endpoint.address,
        "failure_domain": "domain-1",
        "fabric": null,
        "service": "foglalas",
    }));
    fleet.wait_ready(0);
    let caller = fleet.caller(0);
    wait_until("the held server is known", || {
        let reply = caller.call("GET", "/services/foglalas/first", &[], "");
        reply.status == 200
    });
    (fleet, endpoint)
}

#[test]
fn a_late_answer_reaches_nobody() {
    let (fleet, endpoint) = start_held("late-answer");
    let caller = fleet.caller(0);
    for round in 0..3 {
        endpoint.set_delay(LATE);
        let before = endpoint.answers();
        let headers = [("x-bronzerun-timeout-ms", SHORT_MS)];
        let path = format!("/services/foglalas/late/{round}");
        let late = caller.call("GET", &path, &headers, "");
        assert_eq!(late.run(), "unknown", "{late:?}");
        endpoint.set_delay(Duration::ZERO);
        for next in 0..5 {
            let path = format!("/next/{round}/{next}");
            let reply = caller.call("GET", &format!("/services/foglalas{path}"), &[], "");
            assert_eq!(reply.text, path, "another call's answer");
        }
        wait_until("the late answer is sent", || {
            endpoint.answers() >= before + 6
        });
        let reply = caller.call("GET", "/services/foglalas/after", &[], "");
        assert_eq!(reply.text, "/after", "another call's answer");
    }
}

#[test]
fn an_answer_to_another_call_is_not_passed_on() {
    let (fleet, endpoint) = start_held("wrong-answer");
    endpoint.set_identifier("somebody-elses");
    let caller = fleet.caller(0);
    let reply = caller.call("GET", "/services/foglalas/mine", &[], "");
    assert!(reply.status.is_server_error(), "{reply:?}");
    assert_eq!(reply.run(), "unknown");
}

#[test]
fn a_stream_cut_inside_a_token_goes_on_whole() {
    let shape = FleetShape {
        relayed: true,
        ..FleetShape::default()
    };
    let mut fleet = Fleet::start("cut-inside", shape);
    let caller = fleet.caller(0);
    let stream = caller.stream("chat", "hello", 60);
    stream.wait_tokens(5);
    let leader = fleet.busy_group().hosts[0].clone();
    let mut hosts = fleet.engines.iter().map(|engine| &engine.name);
    let relay = hosts.position(|host| *host == leader).unwrap();
    fleet.relays[relay].cut_inside("\"content\"");
    stream.expect_whole("hello", 60);
    assert!(fleet.relays[relay].has_cut(), "nothing was cut");
}
