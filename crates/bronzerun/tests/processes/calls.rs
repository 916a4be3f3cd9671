//! The path from a caller through the gateway to an endpoint, and refused calls.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use document::KeyDigest;
use serde_json::json;

use crate::support::{API_KEY, Caller, Fleet, FleetSpec, expected_text, wait_until};

/// Longest wait for a response on a raw connection.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn calls_pass_through_separate_processes() {
    let fleet = Fleet::start("calls", FleetSpec::default());
    let caller = fleet.caller(0);
    caller
        .stream("chat", "hello", 12)
        .expect_complete("hello", 12);

    let reply = caller.chat("chat", "hello", 12);
    assert_eq!(reply.status, 200, "{reply:?}");
    let text = reply.json()["choices"][0]["message"]["content"].clone();
    assert_eq!(text, expected_text("hello", 12));

    let body = json!({"model": "chat", "prompt": "once", "max_tokens": 3}).to_string();
    let completion = caller.call("POST", "/v1/completions", &[], &body);
    assert_eq!(completion.status, 200, "{completion:?}");

    let models = caller.call("GET", "/v1/models", &[], "").json();
    let listed = models["data"].as_array().unwrap();
    assert_eq!(
        listed.len(),
        1,
        "expected only the models of the workspace: {models}"
    );
    assert_eq!(listed[0]["id"], "chat");

    let plain = caller.call("GET", "/services/foglalas/halls?day=3", &[], "");
    assert_eq!(plain.json()["path"], "/halls?day=3");
}

#[test]
fn invalid_calls_and_calls_outside_the_workspace_are_refused() {
    let fleet = Fleet::start("refused", FleetSpec::plain(1, 1, 5));
    let caller = fleet.caller(0);
    let stranger = Caller::with_key(&fleet.gateways[0].process.address("callers"), "guess");
    let refused = [
        (stranger.chat("chat", "x", 1), 401, "invalid_api_key"),
        (caller.chat("hidden", "x", 1), 404, "unknown_service"),
        (caller.chat("absent", "x", 1), 404, "unknown_service"),
        (caller.chat("foglalas", "x", 1), 400, "wrong_kind"),
        (caller.chat("../fabrics", "x", 1), 404, "unknown_service"),
        (
            caller.call("POST", "/services/chat/x", &[], ""),
            400,
            "wrong_kind",
        ),
        (
            caller.call("POST", "/services/foglalas/charges", &[], ""),
            400,
            "idempotency_key_missing",
        ),
        (
            caller.call("POST", "/services/foglalas/big", &[], &"x".repeat(70_000)),
            413,
            "body_too_large",
        ),
        (
            caller.call("POST", "/v1/chat/completions", &[], "{"),
            400,
            "invalid_request",
        ),
    ];
    for (reply, status, code) in refused {
        assert_eq!(reply.status, status, "{reply:?}");
        assert_eq!(reply.code(), code);
        assert_eq!(reply.run_state(), "not_run");
    }
    assert_eq!(fleet.runs().len(), 0, "an endpoint ran a refused call");
}

/// API key of a caller in another workspace.
const OTHER_KEY: &str = "other-key";

#[test]
fn a_guessed_idempotency_key_returns_no_response_of_another_workspace() {
    let fleet = Fleet::start("guessed", FleetSpec::plain(1, 1, 5));
    let digest = KeyDigest::of_key(OTHER_KEY).to_hex();
    let other = format!(
        "workspaces:\n\
         \x20 theatre:\n\
         \x20   services: [foglalas]\n\
         \x20   callers: {{box-office: {{key_sha256: {digest}}}}}\n"
    );
    fleet.put_section("theatre", &other, 0);
    let stranger = Caller::with_key(&fleet.gateways[0].process.address("callers"), OTHER_KEY);
    wait_until("the other workspace's key is accepted", || {
        stranger.call("GET", "/services/foglalas/x", &[], "").status == 200
    });
    let headers = [("idempotency-key", "guess")];
    let charge = |caller: &Caller| caller.call("POST", "/services/foglalas/charges", &headers, "b");
    let (first, second) = (charge(&fleet.caller(0)), charge(&stranger));
    assert_eq!((first.status.as_u16(), second.status.as_u16()), (200, 200));
    assert_ne!(
        first.text, second.text,
        "one caller got the other's response"
    );
    assert_eq!(fleet.run_count("b"), 2);
}

/// Sends bytes on a new connection and reads until the connection is closed.
fn send_raw(gateway: &str, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(gateway).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    // The gateway may close before it has read everything.
    let _ = stream.write_all(bytes);
    let mut response = Vec::new();
    let end = stream.read_to_end(&mut response);
    let is_timeout = end.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
    assert!(!is_timeout, "the gateway did not close the connection");
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn malformed_requests_do_not_affect_later_calls() {
    let fleet = Fleet::start("malformed", FleetSpec::plain(1, 1, 5));
    let gateway = fleet.gateways[0].process.address("callers");
    let caller = fleet.caller(0);
    let line = "POST /services/foglalas/x HTTP/1.1\r\nhost: a\r\n";
    let auth = format!("authorization: Bearer {API_KEY}\r\n");
    let malformed = [
        (
            "oversize header",
            format!("{line}x: {}\r\n\r\n", "y".repeat(1 << 20)),
        ),
        ("headers that never end", format!("{line}x: 1\r\n")),
        (
            "two lengths",
            format!("{line}{auth}content-length: 3\r\ncontent-length: 30\r\n\r\nabc"),
        ),
        (
            "broken chunk",
            format!("{line}{auth}transfer-encoding: chunked\r\n\r\nzz\r\n"),
        ),
        (
            "bytes that are no HTTP",
            "\u{0}\u{1}\u{2}\r\n\r\n".to_owned(),
        ),
    ];
    for (case, bytes) in malformed {
        let response = send_raw(&gateway, bytes.as_bytes());
        assert!(!response.contains("HTTP/1.1 200"), "{case}: {response}");
        let after = caller.call("GET", "/services/foglalas/after", &[], "");
        assert_eq!(after.status, 200, "after {case}");
    }
    let runs = fleet.runs();
    let only_valid = runs.iter().all(|run| run["path"] == "/after");
    assert!(only_valid, "an endpoint ran a malformed request: {runs:?}");
}

/// Request that a proxy in front, which reads the body by its content length, would forward as
/// part of the body.
const SMUGGLED_REQUEST: &str = "GET /services/foglalas/smuggled HTTP/1.1\r\nhost: a\r\n";

#[test]
fn no_request_is_read_after_a_chunked_body() {
    let fleet = Fleet::start("smuggled", FleetSpec::plain(1, 1, 5));
    let gateway = fleet.gateways[0].process.address("callers");
    let auth = format!("authorization: Bearer {API_KEY}\r\n");
    let chunks = "transfer-encoding: chunked\r\n";
    let length = "content-length: 300\r\n";
    let framings = [
        chunks.to_owned(),
        format!("{length}{chunks}"),
        format!("{chunks}{length}"),
    ];
    for framing in framings {
        let bytes = format!(
            "POST /services/foglalas/x HTTP/1.1\r\nhost: a\r\n{auth}{framing}\r\n\
             0\r\n\r\n{SMUGGLED_REQUEST}{auth}\r\n"
        );
        let response = send_raw(&gateway, bytes.as_bytes());
        assert_eq!(response.matches("HTTP/1.1 ").count(), 1, "{response}");
    }
    let runs = fleet.runs();
    assert!(runs.iter().all(|run| run["path"] == "/x"), "{runs:?}");
}
