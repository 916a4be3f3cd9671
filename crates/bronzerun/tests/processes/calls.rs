//! The whole path from a caller to an endpoint, and what is refused on it.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use document::KeyDigest;
use serde_json::json;

use crate::support::{API_KEY, Caller, Fleet, FleetShape, expected_text, wait_until};

/// Longest wait for an answer on a bare connection.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn calls_travel_through_separate_processes() {
    let fleet = Fleet::start("calls", FleetShape::default());
    let caller = fleet.caller(0);
    caller.stream("chat", "hello", 12).expect_whole("hello", 12);

    let whole = caller.chat("chat", "hello", 12);
    assert_eq!(whole.status, 200, "{whole:?}");
    let text = whole.json()["choices"][0]["message"]["content"].clone();
    assert_eq!(text, expected_text("hello", 12));

    let body = json!({"model": "chat", "prompt": "once", "max_tokens": 3}).to_string();
    let completion = caller.call("POST", "/v1/completions", &[], &body);
    assert_eq!(completion.status, 200, "{completion:?}");

    let models = caller.call("GET", "/v1/models", &[], "").json();
    let listed = models["data"].as_array().unwrap();
    assert_eq!(listed.len(), 1, "only the workspace's own models: {models}");
    assert_eq!(listed[0]["id"], "chat");

    let plain = caller.call("GET", "/services/foglalas/halls?day=3", &[], "");
    assert_eq!(plain.json()["path"], "/halls?day=3");
}

#[test]
fn what_is_no_call_of_its_workspace_is_refused() {
    let fleet = Fleet::start("refused", FleetShape::plain(1, 1, 5));
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
        assert_eq!(reply.run(), "not_run");
    }
    assert_eq!(fleet.runs().len(), 0, "a refused call was run");
}

/// Key of a caller in another workspace.
const OTHER_KEY: &str = "other-key";

#[test]
fn a_guessed_key_shows_nobody_elses_answer() {
    let fleet = Fleet::start("guessed", FleetShape::plain(1, 1, 5));
    let digest = KeyDigest::of_key(OTHER_KEY).to_hex();
    let other = format!(
        "workspaces:\n\
         \x20 theatre:\n\
         \x20   services: [foglalas]\n\
         \x20   callers: {{box-office: {{key_sha256: {digest}}}}}\n"
    );
    fleet.put_section("theatre", &other, 0);
    let stranger = Caller::with_key(&fleet.gateways[0].process.address("callers"), OTHER_KEY);
    wait_until("the other workspace is known", || {
        stranger.call("GET", "/services/foglalas/x", &[], "").status == 200
    });
    let headers = [("idempotency-key", "guess")];
    let charge = |caller: &Caller| caller.call("POST", "/services/foglalas/charges", &headers, "b");
    let (own, others) = (charge(&fleet.caller(0)), charge(&stranger));
    assert_eq!((own.status.as_u16(), others.status.as_u16()), (200, 200));
    assert_ne!(own.text, others.text, "one caller has the other's answer");
    assert_eq!(fleet.run_count("b"), 2);
}

/// Sends bytes on a connection of their own and reads until it closes.
fn send_raw(gateway: &str, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(gateway).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    // The gateway may close before it has read everything.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let end = stream.read_to_end(&mut answer);
    let waits = end.is_err_and(|fault| fault.kind() == std::io::ErrorKind::WouldBlock);
    assert!(!waits, "the gateway keeps the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn malformed_requests_are_refused_and_others_go_on() {
    let fleet = Fleet::start("malformed", FleetShape::plain(1, 1, 5));
    let gateway = fleet.gateways[0].process.address("callers");
    let caller = fleet.caller(0);
    let line = "POST /services/foglalas/x HTTP/1.1\r\nhost: a\r\n";
    let auth = format!("authorization: Bearer {API_KEY}\r\n");
    let hostile = [
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
        ("no request at all", "\u{0}\u{1}\u{2}\r\n\r\n".to_owned()),
    ];
    for (what, bytes) in hostile {
        let answer = send_raw(&gateway, bytes.as_bytes());
        assert!(!answer.contains("HTTP/1.1 200"), "{what}: {answer}");
        let after = caller.call("GET", "/services/foglalas/after", &[], "");
        assert_eq!(after.status, 200, "after {what}");
    }
    let runs = fleet.runs();
    let own = runs.iter().all(|run| run["path"] == "/after");
    assert!(own, "a malformed request was run: {runs:?}");
}

/// What a proxy that goes by the length may have taken for a part of the body.
const LEFT_OVER: &str = "GET /services/foglalas/smuggled HTTP/1.1\r\nhost: a\r\n";

#[test]
fn nothing_is_read_after_a_body_of_chunks() {
    let fleet = Fleet::start("smuggled", FleetShape::plain(1, 1, 5));
    let gateway = fleet.gateways[0].process.address("callers");
    let auth = format!("authorization: Bearer {API_KEY}\r\n");
    let chunks = "transfer-encoding: chunked\r\n";
    let length = "content-length: 300\r\n";
    let lengths = [
        chunks.to_owned(),
        format!("{length}{chunks}"),
        format!("{chunks}{length}"),
    ];
    for lengths in lengths {
        let bytes = format!(
            "POST /services/foglalas/x HTTP/1.1\r\nhost: a\r\n{auth}{lengths}\r\n\
             0\r\n\r\n{LEFT_OVER}{auth}\r\n"
        );
        let answer = send_raw(&gateway, bytes.as_bytes());
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    }
    let runs = fleet.runs();
    assert!(runs.iter().all(|run| run["path"] == "/x"), "{runs:?}");
}
