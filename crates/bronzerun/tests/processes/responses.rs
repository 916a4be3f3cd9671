//! Responses that arrive late, belong to another call, or are cut off.

use std::time::Duration;

use serde_json::json;

use crate::support::{API_KEY, FakeEndpoint, Fleet, FleetSpec, wait_until};

/// Timeout of a call that the delayed response exceeds.
const SHORT_TIMEOUT_MS: &str = "300";
/// Delay of a response that arrives after its call has timed out.
const LATE_DELAY: Duration = Duration::from_millis(900);

/// Fleet whose only server is a fake endpoint controlled by the test.
fn start_with_fake_endpoint(name: &str) -> (Fleet, FakeEndpoint) {
    let fleet = Fleet::start(name, FleetSpec::plain(0, 1, 5));
    let endpoint = FakeEndpoint::start();
    fleet.put_host(&json!({
        "host": "held",
        "address": endpoint.address,
        "failure_domain": "domain-1",
        "fabric": null,
        "service": "foglalas",
    }));
    fleet.wait_ready(0);
    let caller = fleet.caller(0);
    wait_until("the gateway uses the fake endpoint", || {
        let reply = caller.call("GET", "/services/foglalas/first", &[], "");
        reply.status == 200
    });
    (fleet, endpoint)
}

#[test]
fn a_late_response_is_not_delivered_to_another_call() {
    let (fleet, endpoint) = start_with_fake_endpoint("late-answer");
    let caller = fleet.caller(0);
    for round in 0..3 {
        endpoint.set_delay(LATE_DELAY);
        let before = endpoint.response_count();
        let headers = [("x-bronzerun-timeout-ms", SHORT_TIMEOUT_MS)];
        let path = format!("/services/foglalas/late/{round}");
        let late = caller.call("GET", &path, &headers, "");
        assert_eq!(late.run_state(), "unknown", "{late:?}");
        endpoint.set_delay(Duration::ZERO);
        for next in 0..5 {
            let path = format!("/next/{round}/{next}");
            let reply = caller.call("GET", &format!("/services/foglalas{path}"), &[], "");
            assert_eq!(reply.text, path, "got the response of another call");
        }
        wait_until("the late response is sent", || {
            endpoint.response_count() >= before + 6
        });
        let reply = caller.call("GET", "/services/foglalas/after", &[], "");
        assert_eq!(reply.text, "/after", "got the response of another call");
    }
}

#[test]
fn a_response_with_another_request_id_is_not_forwarded() {
    let (fleet, endpoint) = start_with_fake_endpoint("wrong-answer");
    endpoint.set_response_id("somebody-elses");
    let caller = fleet.caller(0);
    let reply = caller.call("GET", "/services/foglalas/mine", &[], "");
    assert!(reply.status.is_server_error(), "{reply:?}");
    assert_eq!(reply.run_state(), "unknown");
}

#[test]
fn an_endpoint_receives_neither_the_api_key_nor_forged_gateway_headers() {
    let (fleet, endpoint) = start_with_fake_endpoint("own-headers");
    let headers = [("x-bronzerun-group", "forged"), ("x-passed", "on")];
    let caller = fleet.caller(0);
    let reply = caller.call("GET", "/services/foglalas/x", &headers, "");
    assert_eq!(reply.status, 200, "{reply:?}");
    let received = endpoint.headers();
    assert!(
        received.iter().any(|line| line == "x-passed: on"),
        "{received:?}"
    );
    let hidden = |line: &String| !line.contains(API_KEY) && !line.contains("forged");
    assert!(received.iter().all(hidden), "{received:?}");
}

#[test]
fn a_stream_cut_inside_a_token_is_resumed_and_completes() {
    let spec = FleetSpec {
        is_proxied: true,
        ..FleetSpec::default()
    };
    let mut fleet = Fleet::start("cut-inside", spec);
    let caller = fleet.caller(0);
    let stream = caller.stream("chat", "hello", 60);
    stream.wait_tokens(5);
    let head = fleet.busy_group().hosts[0].clone();
    let mut hosts = fleet.engines.iter().map(|engine| &engine.name);
    let proxy = hosts.position(|host| *host == head).unwrap();
    fleet.proxies[proxy].cut_inside("\"content\"");
    stream.expect_complete("hello", 60);
    assert!(fleet.proxies[proxy].has_cut(), "no connection was cut");
}
