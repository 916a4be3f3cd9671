//! Malformed and malicious requests, and information that must not leak to callers,
//! endpoints or logs.

use document::KeyDigest;

use crate::support::{
    API_KEY, Caller, Fleet, FleetSpec, Recorder, exchange, wait_until, weddings_text,
};

const OTHER_KEY: &str = "other-workspace-key";
const WRONG_KEY: &str = "nobody-has-this-key";
const COMMON_HEADERS: &str = "host: gateway\r\nauthorization: Bearer fleet-key\r\n";

/// Fleet with one gateway whose only server records the requests that it receives.
fn start_with_recorder(name: &str) -> (Fleet, Recorder) {
    let spec = FleetSpec {
        log_level: "trace",
        ..FleetSpec::plain(1, 1, 5)
    };
    let fleet = Fleet::start(name, spec);
    let recorder = Recorder::start();
    fleet.mark_leaving("server-1");
    fleet.put_server("recorder", &recorder.address);
    let caller = fleet.caller(0);
    wait_until("the gateway uses the recording server", || {
        caller.call("GET", "/services/foglalas/", &[], "").status == 201
    });
    (fleet, recorder)
}

fn gateway_address(fleet: &Fleet) -> String {
    fleet.gateways[0].process.address("callers")
}

/// Raw request with the API key, from a request line, further headers and a body.
fn request(line: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("{line} HTTP/1.1\r\n{COMMON_HEADERS}{headers}\r\n");
    [head.as_bytes(), body].concat()
}

#[test]
fn malformed_requests_are_refused_and_reach_no_endpoint() {
    let (fleet, recorder) = start_with_recorder("security-malformed");
    let address = gateway_address(&fleet);
    let plain = "POST /services/foglalas/smuggled";
    let model = "POST /v1/chat/completions";
    let long = format!("x-long: {}\r\n", "a".repeat(40_000));
    let many = "x-many: a\r\n".repeat(100);
    let large = vec![b'a'; 70_000];
    let deep = [&b"{\"model\": "[..], &[b'['; 20_000]].concat();
    let length = |body: &[u8]| format!("connection: close\r\ncontent-length: {}\r\n", body.len());
    let cases: Vec<(&str, Vec<u8>, &[u16])> = vec![
        (
            "two lengths",
            request(plain, "content-length: 1\r\ncontent-length: 2\r\n", b"ab"),
            &[400],
        ),
        (
            "a length with a sign",
            request(plain, "content-length: +1\r\n", b"a"),
            &[400],
        ),
        (
            "an encoding that is not chunked",
            request(plain, "transfer-encoding: gzip\r\n", b"ab"),
            &[400],
        ),
        (
            "a chunk without a size",
            request(plain, "transfer-encoding: chunked\r\n", b"zz\r\nab\r\n"),
            &[400],
        ),
        (
            "a folded header",
            request(plain, "x-a: b\r\n c\r\ncontent-length: 0\r\n", b""),
            &[400],
        ),
        (
            "a space before a colon",
            request(plain, "content-length : 2\r\n", b"ab"),
            &[400],
        ),
        (
            "a zero byte in a header",
            request(plain, "x-a: b\0c\r\n", b""),
            &[400],
        ),
        (
            "a header that is too long",
            request(plain, &long, b""),
            &[431],
        ),
        ("too many headers", request(plain, &many, b""), &[431]),
        (
            "a body that is too large",
            request(plain, &length(&large), &large),
            &[413],
        ),
        (
            "a TLS record in place of HTTP",
            b"\x16\x03\x01\x02\0\x01\0\r\n\r\n".to_vec(),
            &[400],
        ),
        (
            "an unknown HTTP version",
            b"GET / HTTP/9.9\r\n\r\n".to_vec(),
            &[400],
        ),
        (
            "truncated JSON",
            request(model, &length(b"{\"model\""), b"{\"model\""),
            &[400],
        ),
        (
            "invalid UTF-8",
            request(
                model,
                &length(b"{\"model\": \"\xff\"}"),
                b"{\"model\": \"\xff\"}",
            ),
            &[400],
        ),
        (
            "deeply nested JSON",
            request(model, &length(&deep), &deep),
            &[400],
        ),
        (
            "an empty service name",
            request("GET /services//smuggled", "connection: close\r\n", b""),
            &[404],
        ),
        (
            "dots as the service name",
            request("GET /services/../smuggled", "connection: close\r\n", b""),
            &[404],
        ),
        (
            "a percent-encoded service name",
            request(
                "GET /services/%66oglalas/smuggled",
                "connection: close\r\n",
                b"",
            ),
            &[404],
        ),
        (
            "the operators' status path",
            request("GET /admin/status", "connection: close\r\n", b""),
            &[404],
        ),
        (
            "an idempotency key with a space",
            request(
                "POST /services/foglalas/charges",
                "connection: close\r\nidempotency-key: a b\r\n",
                b"",
            ),
            &[400],
        ),
        (
            "a percent-encoded charge without a key",
            request(
                "POST /services/foglalas/%63harges",
                "connection: close\r\n",
                b"",
            ),
            &[400],
        ),
        (
            "a charge with a lower-case method",
            request(
                "post /services/foglalas/charges",
                "connection: close\r\n",
                b"",
            ),
            &[400],
        ),
    ];
    let before = recorder.requests().len();
    for (case, bytes, statuses) in cases {
        let response = exchange(&address, &bytes);
        let status = response
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok());
        let is_expected = status.is_some_and(|status: u16| statuses.contains(&status));
        assert!(is_expected, "{case}: {response:?}");
        assert_eq!(
            response.matches("HTTP/1.1 ").count(),
            1,
            "{case}: {response}"
        );
        assert_eq!(recorder.requests().len(), before, "{case}");
    }
    let reply = fleet.caller(0).call("GET", "/services/foglalas/", &[], "");
    assert_eq!(reply.status, 201, "the gateway no longer serves");
}

/// Guards against request smuggling: a request with both framings is read as chunked, and
/// the bytes after it are not read as another request.
#[test]
fn a_request_cannot_be_smuggled_behind_two_framings() {
    let (fleet, recorder) = start_with_recorder("security-framing");
    let framings = [
        "content-length: 5\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 5\r\n",
    ];
    let hidden = format!("GET /services/foglalas/hidden HTTP/1.1\r\n{COMMON_HEADERS}\r\n");
    let body = format!("0\r\n\r\n{hidden}");
    for framing in framings {
        let bytes = request("POST /services/foglalas/seen", framing, body.as_bytes());
        let response = exchange(&gateway_address(&fleet), &bytes);
        assert_eq!(response.matches("HTTP/1.1 ").count(), 1, "{response}");
    }
    for sent in recorder.requests() {
        assert!(!sent.contains("hidden"), "{sent}");
        assert!(
            !sent.to_ascii_lowercase().contains("transfer-encoding"),
            "{sent}"
        );
    }
}

#[test]
fn slow_requests_are_closed() {
    let (fleet, recorder) = start_with_recorder("security-slow");
    let address = gateway_address(&fleet);
    let before = recorder.requests().len();
    let head = exchange(&address, b"GET /services/foglalas/ HTTP/1.1\r\nhost: a\r\n");
    assert!(!head.contains(" 200 ") && !head.contains(" 201 "), "{head}");
    let line = "POST /services/foglalas/slow";
    let body = exchange(&address, &request(line, "content-length: 9\r\n", b"a"));
    assert!(body.starts_with("HTTP/1.1 408 "), "{body}");
    assert_eq!(recorder.requests().len(), before);
}

#[test]
fn hop_by_hop_and_internal_headers_are_not_forwarded() {
    let (fleet, recorder) = start_with_recorder("security-headers");
    let headers = "x-kept: yes\r\nx-request-id: guessed\r\nx-bronzerun-group: other\r\n\
        x-bronzerun-epoch: 9\r\nconnection: close\r\nconnection: x-hop, x-other-hop\r\n\
        x-hop: one\r\nx-other-hop: two\r\nkeep-alive: timeout=5\r\n\
        proxy-authorization: Basic secret\r\nproxy-connection: keep-alive\r\n\
        te: trailers\r\nupgrade: h2c\r\n";
    let line = "GET http://elsewhere/services/foglalas/echo?a=b";
    let response = exchange(&gateway_address(&fleet), &request(line, headers, b""));
    let response = response.to_ascii_lowercase();
    assert!(response.starts_with("http/1.1 201 "), "{response}");
    assert!(response.contains("x-kept: yes"), "{response}");
    for header in ["x-hop", "keep-alive", "proxy-authenticate", "guessed"] {
        assert!(!response.contains(header), "{header}: {response}");
    }
    let request = recorder.requests().pop().unwrap().to_ascii_lowercase();
    assert!(
        request.starts_with("get /echo?a=b http/1.1\r\n"),
        "{request}"
    );
    assert!(request.contains("x-kept: yes"), "{request}");
    assert!(
        request.contains(&format!("host: {}", recorder.address)),
        "{request}"
    );
    let stripped = [
        "authorization",
        API_KEY,
        "guessed",
        "x-bronzerun-",
        "x-hop",
        "x-other-hop",
        "keep-alive",
        "proxy-",
        "\nte:",
        "upgrade",
        "elsewhere",
    ];
    for header in stripped {
        assert!(!request.contains(header), "{header}: {request}");
    }
}

#[test]
fn keys_expose_no_response_of_another_workspace_and_are_not_logged() {
    let (fleet, recorder) = start_with_recorder("security-keys");
    let digest = |key: &str| KeyDigest::of_key(key).to_hex();
    let text = format!(
        "{}  funerals:\n    services: [foglalas]\n    callers: {{desk: {{key_sha256: {}}}}}\n",
        weddings_text("chat, foglalas"),
        digest(OTHER_KEY),
    );
    fleet.put_section("weddings", &text, 1);
    let address = gateway_address(&fleet);
    let other = Caller::with_key(&address, OTHER_KEY);
    wait_until("the other workspace's key is accepted", || {
        other.call("GET", "/services/foglalas/", &[], "").status == 201
    });
    let charge = |caller: &Caller| {
        let key = [("idempotency-key", "guessable-1")];
        caller.call("POST", "/services/foglalas/charges", &key, "deposit")
    };
    let charges = || {
        let requests = recorder.requests();
        let charges = requests.iter().filter(|sent| sent.contains(" /charges"));
        charges.count()
    };
    assert_eq!(charge(&fleet.caller(0)).status, 201);
    assert_eq!(charges(), 1);
    assert_eq!(charge(&Caller::with_key(&address, WRONG_KEY)).status, 401);
    assert_eq!(charges(), 1);
    assert_eq!(charge(&other).status, 201);
    assert_eq!(
        charges(),
        2,
        "the call got the response of the other workspace"
    );
    assert_eq!(other.chat("chat", "hello", 1).status, 404);
    assert_eq!(other.chat("nowhere", "hello", 1).status, 404);
    let logs = fleet.gateways[0].process.logs();
    for key in [API_KEY, OTHER_KEY, WRONG_KEY] {
        assert!(!logs.contains(key), "a log contains an API key");
        assert!(
            !logs.contains(&digest(key)),
            "a log contains the digest of an API key"
        );
    }
}

#[test]
fn a_charge_without_a_response_is_reported_as_running_or_unknown() {
    let (fleet, _recorder) = start_with_recorder("security-silent");
    let headers = [("idempotency-key", "k1"), ("x-bronzerun-timeout-ms", "400")];
    let body = "deposit";
    let reply = fleet
        .caller(0)
        .call("POST", "/services/foglalas/charges/silent", &headers, body);
    assert!(
        ["running", "unknown"].contains(&reply.run_state()),
        "{reply:?}"
    );
}
