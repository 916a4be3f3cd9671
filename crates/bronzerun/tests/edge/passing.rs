//! Requests that a node which reaches no server has passed on by a node of another build.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::raw::{RawRequest, raw_response, spawn_raw_server};
use crate::{CONDITION_TIMEOUT, Node, spawn_service};

/// Ports for other nodes: for links, and for attempts that they pass on.
const INTERNAL_PORTS: (u16, u16) = (20_011, 20_012);
/// Pause between two requests of a client.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);
/// Requests that are passed on in a test.
const PASSED_REQUESTS: usize = 5;

/// IDs of the requests that were passed on.
pub type PassedIds = Arc<Mutex<Vec<String>>>;

/// Entry of a node in the store.
fn node_entry(name: &str, ip: Ipv4Addr, passing: SocketAddr) -> Value {
    let (links, _) = INTERNAL_PORTS;
    json!({"metadata": {"name": format!("node.{name}"), "revision": 4}, "spec": {
        "address": format!("{ip}:{links}"), "passing": passing.to_string(), "rank": 250, "domain": "z1"}})
}

/// Address at which nothing listens.
fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

/// Starts a node that reaches its server only by way of another node, whose requests to pass on go
/// to `passing` if it is given.
///
/// The nodes have addresses in the block `127.NETWORK.0.0` and the one after it.
pub fn start_cut_off(
    name: &str,
    network: u8,
    passing: Option<SocketAddr>,
    servers: Vec<SocketAddr>,
) -> [Node; 2] {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ips =
        [network, network + 1].map(|network| Ipv4Addr::new(127, network, high, low.clamp(1, 254)));
    let names = [format!("{name}-cut"), format!("{name}-other")];
    let (_, port) = INTERNAL_PORTS;
    let other = passing.unwrap_or(SocketAddr::from((ips[1], port)));
    let shared = vec![
        node_entry(&names[0], ips[0], SocketAddr::from((ips[0], port))),
        node_entry(&names[1], ips[1], other),
    ];
    let unreachable = servers.iter().map(|_| closed_address()).collect();
    let other = Node::start_beside(&names[1], servers, ips[1], INTERNAL_PORTS, shared.clone());
    let cut = Node::start_beside(&names[0], unreachable, ips[0], INTERNAL_PORTS, shared);
    [cut, other]
}

/// Sends requests that may run once only until some were passed on; returns the statuses of those.
pub fn statuses_of_passed(node: &Node, passed: &PassedIds) -> Vec<(String, u16)> {
    let end = Instant::now() + CONDITION_TIMEOUT;
    let mut statuses = Vec::new();
    for index in 0.. {
        assert!(Instant::now() < end, "no request was passed on");
        let id = format!("r-{index}");
        let (status, _, _) = node.request_as(&id, "/o/run", "key-1");
        if passed.lock().unwrap().contains(&id) {
            statuses.push((id, status));
        }
        if statuses.len() == PASSED_REQUESTS {
            return statuses;
        }
        std::thread::sleep(REQUEST_PAUSE);
    }
    statuses
}

/// Server, or node of another build, that runs each request and writes a refusal for it.
fn spawn_refusing(passed: PassedIds) -> SocketAddr {
    spawn_raw_server(move |RawRequest { id, .. }, stream: &mut TcpStream| {
        passed.lock().unwrap().push(id.clone());
        let headers = format!("x-bronzerun-not-executed: 1\r\nx-bronzerun-request-id: {id}\r\n");
        stream.write_all(raw_response("503 Service Unavailable", &headers, "").as_bytes())
    })
}

#[test]
fn a_refusal_that_a_node_of_an_older_build_believed_is_no_promise_of_this_one() {
    let passed = PassedIds::default();
    let older = spawn_refusing(passed.clone());
    let [cut, _other] = start_cut_off(
        "older",
        73,
        Some(older),
        vec![spawn_service(|| crate::Server)],
    );
    let statuses = statuses_of_passed(&cut, &passed);
    assert!(
        statuses.iter().all(|(_, status)| *status == 502),
        "{statuses:?}"
    );
}

#[test]
fn a_421_without_the_mark_of_a_refusal_that_a_node_passes_back_is_no_promise() {
    let passed = PassedIds::default();
    let runs = passed.clone();
    let server = spawn_raw_server(move |RawRequest { id, .. }, stream: &mut TcpStream| {
        runs.lock().unwrap().push(id.clone());
        let headers = format!("x-bronzerun-request-id: {id}\r\n");
        stream.write_all(raw_response("421 Misdirected Request", &headers, "").as_bytes())
    });
    let [cut, _other] = start_cut_off("bare", 75, None, vec![server]);
    let statuses = statuses_of_passed(&cut, &passed);
    assert!(
        statuses.iter().all(|(_, status)| *status == 502),
        "{statuses:?}"
    );
}

#[test]
fn a_refusal_that_a_node_of_this_build_passes_back_is_answered_as_not_run() {
    let refused = PassedIds::default();
    let [cut, _other] = start_cut_off("same", 71, None, vec![spawn_refusing(refused.clone())]);
    let statuses = statuses_of_passed(&cut, &refused);
    assert!(
        statuses.iter().all(|(_, status)| *status == 503),
        "{statuses:?}"
    );
}

/// Path of the requests that crash servers, below the prefix of a route.
const DEADLY_PATH: &str = "deadly";
/// Servers of a test; more than it takes to quarantine a request.
const DEADLY_SERVERS: usize = 6;

/// What a server does with a deadly request, by the number of such requests before and its ID; it
/// crashes if this is an error.
type DeadlyAnswer = fn(usize, &str, &mut TcpStream) -> std::io::Result<()>;

/// Servers that count the deadly requests that they get.
fn spawn_deadly(arrivals: &Arc<Mutex<usize>>, answer: DeadlyAnswer) -> Vec<SocketAddr> {
    let servers = (0..DEADLY_SERVERS).map(|_| {
        let arrivals = arrivals.clone();
        spawn_raw_server(move |RawRequest { id, path, .. }, stream: &mut TcpStream| {
            if path.ends_with(DEADLY_PATH) {
                let before = {
                    let mut count = arrivals.lock().unwrap();
                    *count += 1;
                    *count - 1
                };
                return answer(before, id, stream);
            }
            let headers =
                format!("x-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {id}\r\n");
            stream.write_all(raw_response("200 OK", &headers, "sound").as_bytes())
        })
    });
    servers.collect()
}

fn crash() -> std::io::Error {
    std::io::Error::other("the server crashes")
}

/// Whether a node rejects a request as quarantined, by its log.
fn is_quarantined(node: &Node, id: &str, path: &str) -> bool {
    let (status, _, _) = node.request_as(id, path, "key-1");
    if status != 503 {
        return false;
    }
    let end = Instant::now() + CONDITION_TIMEOUT;
    loop {
        let remaining = end.saturating_duration_since(Instant::now());
        let line = node
            .lines
            .recv_timeout(remaining)
            .expect("a refusal is logged");
        let is_refusal =
            ["request rejected", "request failed"].contains(&line["message"].as_str().unwrap());
        if is_refusal && line["id"] == id {
            return line["reason"] == "Quarantined";
        }
    }
}

/// Sends requests that crash servers by way of another node until they are quarantined, and checks
/// that both nodes know it, and that sound ones are served.
fn check_quarantine(name: &str, network: u8, prefix: &str, answer: DeadlyAnswer) {
    let arrivals = Arc::default();
    let servers = spawn_deadly(&arrivals, answer);
    let [cut, other] = start_cut_off(name, network, None, servers);
    let path = format!("{prefix}{DEADLY_PATH}");
    let end = Instant::now() + CONDITION_TIMEOUT;
    for index in 0.. {
        if is_quarantined(&cut, &format!("d-{index}"), &path) {
            break;
        }
        assert!(
            Instant::now() < end,
            "never quarantined, {} arrivals",
            arrivals.lock().unwrap()
        );
        std::thread::sleep(REQUEST_PAUSE);
    }
    let before = *arrivals.lock().unwrap();
    assert!(
        is_quarantined(&other, "d-other", &path),
        "{before} arrivals"
    );
    assert_eq!(*arrivals.lock().unwrap(), before);
    for node in [&cut, &other] {
        let (status, body, _) = node.request_as("sound", "/o/sound", "key-1");
        assert_eq!((status, body.as_str()), (200, "sound"));
    }
}

#[test]
fn a_request_that_crashes_servers_by_way_of_another_node_is_quarantined_at_both() {
    check_quarantine("deadly", 79, "/o/", |_, _, _| Err(crash()));
}

#[test]
fn a_stream_that_crashes_servers_by_way_of_another_node_after_an_event_is_quarantined_at_both() {
    check_quarantine("deadly-stream", 81, "/s/", |_, id, stream| {
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             x-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {id}\r\n\r\n"
        );
        let event = "id: 1\ndata: a\n\n";
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(format!("{head}{chunk}").as_bytes())?;
        Err(crash())
    });
}

#[test]
fn a_refusal_that_is_passed_back_does_not_clear_a_request_that_crashes_servers() {
    check_quarantine("deadly-refused", 83, "/o/", |before, id, stream| {
        if before % 2 == 0 {
            return Err(crash());
        }
        let headers = format!("x-bronzerun-not-executed: 1\r\nx-bronzerun-request-id: {id}\r\n");
        stream.write_all(raw_response("503 Service Unavailable", &headers, "").as_bytes())
    });
}
