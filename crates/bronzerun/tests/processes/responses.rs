//! Responses that arrive late, belong to another call, or are cut off.

use std::time::Duration;

use serde_json::json;

use crate::support::{
    API_KEY, FakeEndpoint, Fleet, FleetSpec, RefusalSpec, RefusingEndpoint, expected_text,
    wait_until,
};

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

/// Status lines that no final response has, without the protocol version.
const INVALID_STATUSES: [&str; 5] = [
    "000 Any",
    "101 Switching Protocols",
    "600 Any",
    "999 Any",
    "204 No Content\r\ncontent-length: 4",
];

#[test]
fn a_response_whose_status_is_none_is_no_outcome_of_a_call() {
    let (fleet, endpoint) = start_with_fake_endpoint("invalid-status");
    let caller = fleet.caller(0);
    let mut wrong = Vec::new();
    for (index, status) in INVALID_STATUSES.into_iter().enumerate() {
        endpoint.set_status(status);
        let key = format!("key-{index}");
        let once_only: [(&str, &str); 1] = [("idempotency-key", &key)];
        for (method, headers) in [("GET", &[][..]), ("POST", &once_only[..])] {
            let reply = caller.call(method, "/services/foglalas/any", headers, "");
            if !reply.status.is_server_error() || reply.run_state() != "unknown" {
                wrong.push((status, method, reply.status, reply.run_state().to_owned()));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Statuses with which servers refuse calls.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];

/// Replies, as pairs of key and status, that refuse a once-only call which the server has run,
/// where the server writes each refusal once more.
fn refusals_of_calls_that_ran(name: &str, spec: RefusalSpec) -> Vec<(String, u16)> {
    let fleet = Fleet::start(name, FleetSpec::plain(0, 1, 5));
    let endpoint = RefusingEndpoint::start(spec);
    fleet.put_server("refusing", &endpoint.address);
    fleet.wait_ready(0);
    let caller = fleet.caller(0);
    let charge = |key: &str| {
        let headers = [("idempotency-key", key)];
        let reply = caller.call("POST", "/services/foglalas/charges", &headers, key);
        (reply.status.as_u16(), reply.run_state().to_owned())
    };
    wait_until("the gateway uses the server", || {
        charge("first").1 != "not_run"
    });
    let mut wrong = Vec::new();
    for round in 0..10 {
        let key = format!("{}-{round}", spec.status);
        let (status, run_state) = charge(&key);
        if (status == spec.status || run_state == "not_run") && endpoint.has_run(&key) {
            wrong.push((key, status));
        }
    }
    wrong
}

#[test]
fn a_refusal_without_an_id_written_again_is_not_the_outcome_of_another_once_only_call() {
    let cases = REFUSALS.map(|status| {
        let is_named = false;
        let name = format!("unnamed-refusal-{status}");
        refusals_of_calls_that_ran(&name, RefusalSpec { status, is_named })
    });
    assert_eq!(cases.concat(), Vec::new());
}

#[test]
fn a_refusal_written_again_is_not_the_outcome_of_another_once_only_call() {
    let cases = REFUSALS.map(|status| {
        let is_named = true;
        let name = format!("named-refusal-{status}");
        refusals_of_calls_that_ran(&name, RefusalSpec { status, is_named })
    });
    assert_eq!(cases.concat(), Vec::new());
}

#[test]
fn a_report_written_again_is_not_delivered_to_a_caller() {
    let spec = FleetSpec {
        is_proxied: true,
        token_ms: 1,
        ..FleetSpec::default()
    };
    let fleet = Fleet::start("report-again", spec);
    for proxy in &fleet.proxies {
        proxy.repeat_reports();
    }
    let caller = fleet.caller(0);
    let replies = (0..20).map(|_| caller.chat("chat", "hello", 3));
    let answers: Vec<_> = replies
        .map(|reply| (reply.status.as_u16(), reply.text))
        .collect();
    let own = expected_text("hello", 3);
    let wrong = answers
        .iter()
        .filter(|(status, text)| *status != 200 || !text.contains(&own));
    assert_eq!(wrong.collect::<Vec<_>>(), Vec::<&(u16, String)>::new());
}

#[test]
fn a_run_state_that_an_endpoint_states_is_not_forwarded() {
    let (fleet, endpoint) = start_with_fake_endpoint("stated-run");
    endpoint.set_response_headers("x-bronzerun-run: not_run\r\n");
    let caller = fleet.caller(0);
    let reply = caller.call("GET", "/services/foglalas/mine", &[], "");
    assert_eq!(reply.text, "/mine", "the call did not run");
    assert_eq!(reply.run_state(), "");
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
