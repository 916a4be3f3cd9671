//! Servers whose responses have a status that is none.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::passing::{PassedIds, start_cut_off, statuses_of_passed};
use crate::raw::{RawRequest, raw_response, spawn_raw_server};
use crate::refused::pass_on;
use crate::{Node, spawn_service};

/// Status lines that no final response has, without the protocol version.
const INVALID_STATUSES: [&str; 20] = [
    "000 Any",
    "0 Any",
    "00 Any",
    "099 Any",
    "100 Continue",
    "101 Switching Protocols",
    "101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: any",
    "102 Processing",
    "199 Any",
    "20 Any",
    "600 Any",
    "777 Any",
    "999 Any",
    "1000 Any",
    "2000 Any",
    "-20 Any",
    "+200 OK",
    "0x200 OK",
    "200OK",
    "204 No Content\r\ncontent-length: 4",
];
/// Paths of routes by how often their requests may run: once, or at two servers.
const RUN_LIMITS: [(&str, usize); 4] = [("/o/run", 1), ("/s/run", 1), ("/i/run", 2), ("/r/run", 2)];
/// Ports for other nodes: for links, and for attempts that they pass on.
const INTERNAL_PORTS: (u16, u16) = (20_021, 20_022);
/// Time after which a server that failed is preferred again.
const RECOVERY_PAUSE: Duration = Duration::from_millis(300);

/// Number of runs of each request by its id.
type RunCounts = Arc<Mutex<HashMap<String, usize>>>;

/// Response with this status line, which may have headers, to a request with this id.
fn sealed_response(status: &str, id: &str, headers: &str) -> String {
    let headers =
        format!("x-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {id}\r\n{headers}");
    if status.contains("content-length") {
        return format!("HTTP/1.1 {status}\r\n{headers}\r\ndone");
    }
    raw_response(status, &headers, "done")
}

/// Server that runs each request and answers with this status and these headers.
fn spawn_server(status: &'static str, headers: &'static str, runs: RunCounts) -> SocketAddr {
    spawn_raw_server(move |RawRequest { id, .. }, stream: &mut TcpStream| {
        *runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        stream.write_all(sealed_response(status, id, headers).as_bytes())
    })
}

/// Statuses, paths and outcomes that differ from 502 without a seal after the runs that the route
/// allows, of requests to two servers that answer with these headers.
fn wrong_outcomes(name: &str, headers: &'static str) -> Vec<String> {
    let mut wrong = Vec::new();
    for (index, status) in INVALID_STATUSES.into_iter().enumerate() {
        let runs = RunCounts::default();
        let servers = (0..2).map(|_| spawn_server(status, headers, runs.clone()));
        let node = Node::start_before(&format!("{name}-{index}"), servers.collect());
        for (path, run_limit) in RUN_LIMITS {
            let (received, _, seal) = node.request_as(path, path, "key-1");
            let run_count = runs.lock().unwrap().get(path).copied().unwrap_or_default();
            if (received, &seal, run_count) != (502, &None, run_limit) {
                wrong.push(format!(
                    "'{status}' on {path}: {received}, seal {seal:?}, {run_count} runs"
                ));
            }
        }
    }
    wrong
}

#[test]
fn a_response_whose_status_is_none_does_not_reach_the_client() {
    let wrong = wrong_outcomes("invalid", "");
    assert!(wrong.is_empty(), "{} of 80: {wrong:#?}", wrong.len());
}

#[test]
fn a_response_whose_status_is_none_does_not_prove_that_a_request_was_not_run() {
    let wrong = wrong_outcomes("invalid-marked", "x-bronzerun-not-executed: 1\r\n");
    assert!(wrong.is_empty(), "{} of 80: {wrong:#?}", wrong.len());
}

#[test]
fn a_request_that_may_be_repeated_is_served_elsewhere_after_a_status_that_is_none() {
    let mut wrong = Vec::new();
    for (index, status) in INVALID_STATUSES.into_iter().enumerate() {
        let runs = RunCounts::default();
        let servers = [status, "200 OK"].map(|status| spawn_server(status, "", runs.clone()));
        let node = Node::start_before(&format!("elsewhere-{index}"), servers.to_vec());
        for round in 0..4 {
            let id = format!("r-{round}");
            let received = node.request_as(&id, "/i/run", "key-1");
            if received != (200, "done".to_owned(), Some("s".to_owned())) {
                wrong.push((status, id, received));
            }
        }
    }
    assert!(wrong.is_empty(), "{} of 80: {wrong:#?}", wrong.len());
}

#[test]
fn a_request_before_servers_with_a_status_that_is_none_is_not_rejected_as_one_that_crashes_them() {
    let mut rejected = Vec::new();
    for status in ["000 Any", "600 Any", "101 Switching Protocols"] {
        let runs = RunCounts::default();
        let servers = (0..4).map(|_| spawn_server(status, "", runs.clone()));
        let name = format!("no-crash-{}", &status[..3]);
        let node = Node::start_before(&name, servers.collect());
        for round in 0..12 {
            let (received, body, _) = node.request_as(&format!("r-{round}"), "/o/run", "key-1");
            if received != 502 {
                rejected.push((status, round, received, body));
            }
            std::thread::sleep(RECOVERY_PAUSE);
        }
    }
    assert!(rejected.is_empty(), "{rejected:#?}");
}

#[test]
fn a_final_response_after_interim_ones_reaches_the_client() {
    let server = spawn_raw_server(|RawRequest { id, .. }, stream: &mut TcpStream| {
        let interim = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n";
        let response = format!("{interim}{}", sealed_response("200 OK", id, ""));
        stream.write_all(response.as_bytes())
    });
    let node = Node::start_before("interim", vec![server]);
    let received = node.request_as("r-1", "/o/run", "key-1");
    assert_eq!(received, (200, "done".to_owned(), Some("s".to_owned())));
}

/// Status and seal that a client gets before a server that answers with this status line.
fn response_of(name: &str, status: &'static str) -> (u16, Option<String>) {
    let node = Node::start_before(name, vec![spawn_server(status, "", RunCounts::default())]);
    let (received, _, seal) = node.request_as("r-1", "/o/run", "key-1");
    (received, seal)
}

#[test]
fn a_final_status_without_a_name_reaches_the_client_with_its_seal() {
    for status in [
        "299 Any",
        "304 Not Modified",
        "399 Any",
        "499 Any",
        "599 Any",
    ] {
        let received = response_of(&format!("unnamed-{}", &status[..3]), status);
        let expected = (status[..3].parse().unwrap(), Some("s".to_owned()));
        assert_eq!(received, expected, "'{status}'");
    }
}

#[test]
fn bytes_after_a_response_without_content_are_not_the_next_response() {
    let mut wrong = Vec::new();
    for status in ["204 No Content", "304 Not Modified"] {
        // The content is a response itself, which bears the id of the next request.
        let server = spawn_raw_server(move |RawRequest { id, path, .. }, stream| {
            if path == "/o/next" {
                return stream.write_all(sealed_response("200 OK", id, "").as_bytes());
            }
            let content = sealed_response("200 Forged", "r-2", "");
            let length = content.len();
            let headers = format!(
                "x-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {id}\r\ncontent-length: {length}\r\n"
            );
            stream.write_all(format!("HTTP/1.1 {status}\r\n{headers}\r\n").as_bytes())?;
            std::thread::sleep(Duration::from_millis(100));
            stream.write_all(content.replace("done", "fake").as_bytes())
        });
        let node = Node::start_before(&format!("contentless-{}", &status[..3]), vec![server]);
        node.request_as("r-1", "/o/first", "key-1");
        let (received, body, _) = node.request_as("r-2", "/o/next", "key-1");
        if (received, body.as_str()) != (200, "done") {
            wrong.push((status, received, body));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

#[test]
fn a_status_that_is_none_does_not_pass_from_a_server_to_another_node() {
    let mut wrong = Vec::new();
    for (index, status) in INVALID_STATUSES.into_iter().enumerate() {
        let runs = RunCounts::default();
        let headers = "x-bronzerun-not-executed: 1\r\n";
        let server = spawn_server(status, headers, runs.clone());
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 81 + index as u8, high, low.clamp(1, 254));
        let name = format!("invalid-passing-{index}");
        let _node = Node::start_at(&name, vec![server], ip, INTERNAL_PORTS);
        let received = pass_on(SocketAddr::from((ip, INTERNAL_PORTS.1)), "r-1");
        let run_count = runs.lock().unwrap().get("r-1").copied().unwrap_or_default();
        if (received, run_count) != (502, 1) {
            wrong.push(format!("'{status}': {received}, {run_count} runs"));
        }
    }
    assert!(wrong.is_empty(), "{} of 20: {wrong:#?}", wrong.len());
}

#[test]
fn a_status_that_is_none_of_a_node_that_passes_requests_on_does_not_reach_the_client() {
    let passed = PassedIds::default();
    let ids = passed.clone();
    let older = spawn_raw_server(move |RawRequest { id, .. }, stream: &mut TcpStream| {
        ids.lock().unwrap().push(id.clone());
        let headers = "x-bronzerun-not-executed: 1\r\nx-pass-checked: 1\r\n";
        let statuses = ["600 Any", "101 Switching Protocols", "000 Any"];
        let status = statuses[ids.lock().unwrap().len() % statuses.len()];
        stream.write_all(sealed_response(status, id, headers).as_bytes())
    });
    let servers = vec![spawn_service(|| crate::Server)];
    let [cut, _other] = start_cut_off("invalid-older", 77, Some(older), servers);
    let statuses = statuses_of_passed(&cut, &passed);
    assert!(
        statuses.iter().all(|(_, status)| *status == 502),
        "{statuses:?}"
    );
}
