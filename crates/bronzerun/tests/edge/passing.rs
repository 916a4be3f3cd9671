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
    let other = Node::start_beside(&names[1], servers, ips[1], INTERNAL_PORTS, shared.clone());
    let unreachable = vec![closed_address()];
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
