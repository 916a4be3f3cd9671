//! Servers that run a request and answer with a status that says it was not run.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::raw::{RawRequest, raw_response, spawn_raw_server};
use crate::{Node, get};

/// Statuses that promise the client that its request was not run and never will be.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Time after which a client repeats a refused request.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);
/// Refused requests that a client repeats, for each number of servers.
const REPEATED_IDS: usize = 10;
/// Requests to a server that is listed under two names.
const RENAMED_IDS: usize = 20;
/// Ports for other nodes: for links, and for attempts that they pass on.
const INTERNAL_PORTS: (u16, u16) = (20_001, 20_002);

const SERVICE_UNAVAILABLE: &str = "503 Service Unavailable";
const TOO_MANY_REQUESTS: &str = "429 Too Many Requests";
const MISDIRECTED_REQUEST: &str = "421 Misdirected Request";
const REQUEST_TIMEOUT: &str = "408 Request Timeout";

/// Number of runs of each request by its id.
type RunCounts = Arc<Mutex<HashMap<String, usize>>>;

fn count_run(runs: &RunCounts, id: &str) {
    *runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
}

fn runs_of(runs: &RunCounts, id: &str) -> usize {
    runs.lock().unwrap().get(id).copied().unwrap_or_default()
}

/// Server that refuses each id once. It runs it when it comes again, and writes the refusal once
/// more before the response if it comes on the connection of the refusal.
fn server_that_repeats_refusals(status: &'static str, runs: RunCounts) -> SocketAddr {
    let refused: Mutex<HashMap<String, SocketAddr>> = Mutex::default();
    spawn_raw_server(move |RawRequest { id, .. }, stream: &mut TcpStream| {
        let peer = stream.peer_addr()?;
        let headers = format!("x-bronzerun-not-executed: 1\r\nx-bronzerun-request-id: {id}\r\n");
        let refusal = raw_response(status, &headers, "");
        let before = refused.lock().unwrap().insert(id.clone(), peer);
        let Some(before) = before else {
            return stream.write_all(refusal.as_bytes());
        };
        count_run(&runs, id);
        if before == peer {
            stream.write_all(refusal.as_bytes())?;
        }
        let headers = format!("x-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {id}\r\n");
        stream.write_all(raw_response("200 OK", &headers, "done").as_bytes())
    })
}

/// Sends ids that one, two or three servers refuse, and each of them once more.
fn check_repeated_ids(name: &str, status: &'static str) {
    let mut broken = Vec::new();
    for server_count in 1..=3 {
        let runs = RunCounts::default();
        let servers = (0..server_count).map(|_| server_that_repeats_refusals(status, runs.clone()));
        let node = Node::start_before(&format!("{name}-{server_count}"), servers.collect());
        for index in 0..REPEATED_IDS {
            let id = format!("r-{server_count}-{index}");
            node.request_as(&id, "/o/run", "key-1");
            std::thread::sleep(REPEAT_PAUSE);
            let (status, _, _) = node.request_as(&id, "/o/run", "key-1");
            let run_count = runs_of(&runs, &id);
            if run_count > 1 || run_count == 1 && NOT_RUN_STATUSES.contains(&status) {
                broken.push((id, status, run_count));
            }
        }
        assert!(!runs.lock().unwrap().is_empty(), "no request was run");
    }
    assert!(broken.is_empty(), "id, status, runs: {broken:?}");
}

#[test]
fn an_id_sent_again_after_a_503_that_is_written_twice_is_not_called_unrun_once_it_runs() {
    check_repeated_ids("again-503", SERVICE_UNAVAILABLE);
}

#[test]
fn an_id_sent_again_after_a_429_that_is_written_twice_is_not_called_unrun_once_it_runs() {
    check_repeated_ids("again-429", TOO_MANY_REQUESTS);
}

#[test]
fn an_id_sent_again_after_a_421_that_is_written_twice_is_not_called_unrun_once_it_runs() {
    check_repeated_ids("again-421", MISDIRECTED_REQUEST);
}

/// Sends an attempt to a node as another node that reaches no server does; returns the status.
pub fn pass_on(passing: SocketAddr, id: &str) -> u16 {
    let headers = [
        ("host", "a.example"),
        ("x-bronzerun-request-id", id),
        ("x-bronzerun-deadline-ms", "4000"),
        ("x-pass-target", "i-1"),
        ("x-pass-incarnation", "5"),
        ("x-pass-time-left", "4000"),
        ("x-pass-request-id", id),
    ];
    get(&format!("http://{passing}/o/run"), &headers).0
}

#[test]
fn an_attempt_passed_on_for_another_node_does_not_end_with_the_copy_of_its_refusal() {
    let statuses = [SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS, MISDIRECTED_REQUEST];
    let mut broken = Vec::new();
    for (index, status) in statuses.into_iter().enumerate() {
        let runs = RunCounts::default();
        let servers = vec![server_that_repeats_refusals(status, runs.clone())];
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 48 + index as u8, high, low.clamp(1, 254));
        let name = format!("passing-{}", &status[..3]);
        let _node = Node::start_at(&name, servers, ip, INTERNAL_PORTS);
        let passing = SocketAddr::from((ip, INTERNAL_PORTS.1));
        for index in 0..REPEATED_IDS {
            let id = format!("r-{index}");
            let refused = pass_on(passing, &id);
            std::thread::sleep(REPEAT_PAUSE);
            let received = pass_on(passing, &id);
            let run_count = runs_of(&runs, &id);
            let is_wrong = refused.to_string() != status[..3] || run_count != 1;
            if is_wrong || NOT_RUN_STATUSES.contains(&received) {
                broken.push((id, refused, received, run_count));
            }
        }
    }
    assert!(
        broken.is_empty(),
        "id, statuses, runs, {} of 30: {broken:?}",
        broken.len()
    );
}

/// Server that runs each request and answers with this status, without a report that it didn't.
fn server_that_answers(status: &'static str, runs: RunCounts) -> SocketAddr {
    spawn_raw_server(move |RawRequest { id, .. }, stream: &mut TcpStream| {
        count_run(&runs, id);
        let headers = format!("x-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {id}\r\n");
        stream.write_all(raw_response(status, &headers, "").as_bytes())
    })
}

/// Status and seal that a client gets, and number of runs, before two servers that answer with this
/// status.
fn outcome_of(name: &str, status: &'static str, path: &str) -> (u16, Option<String>, usize) {
    let runs = RunCounts::default();
    let servers = (0..2).map(|_| server_that_answers(status, runs.clone()));
    let node = Node::start_before(name, servers.collect());
    let (status, _, seal) = node.request_as("r-own", path, "key-1");
    (status, seal, runs_of(&runs, "r-own"))
}

#[test]
fn a_status_of_a_request_that_ran_once_at_most_does_not_promise_that_it_did_not_run() {
    let statuses = [
        SERVICE_UNAVAILABLE,
        TOO_MANY_REQUESTS,
        REQUEST_TIMEOUT,
        "503 Service Unavailable\r\ncontent-type: text/event-stream",
    ];
    let mut broken = Vec::new();
    for (index, status) in statuses.into_iter().enumerate() {
        for path in ["/o/run", "/s/run"] {
            let name = format!("own-{index}{}", path.replace('/', "-"));
            let (received, seal, run_count) = outcome_of(&name, status, path);
            assert_eq!(run_count, 1, "'{status}' on {path}");
            if NOT_RUN_STATUSES.contains(&received) || seal.is_some() {
                broken.push((status, path, received, seal));
            }
        }
    }
    assert!(broken.is_empty(), "{} of 8: {broken:?}", broken.len());
}

#[test]
fn a_421_without_the_mark_of_a_request_that_ran_does_not_promise_that_it_did_not_run() {
    let (received, seal, run_count) = outcome_of("own-421", MISDIRECTED_REQUEST, "/o/run");
    assert_eq!(run_count, 1, "got {received}");
    let is_promise = NOT_RUN_STATUSES.contains(&received);
    assert!(!is_promise && seal.is_none(), "got {received}, {seal:?}");
}

#[test]
fn a_421_without_the_mark_of_a_refusal_is_tried_elsewhere_if_the_request_may_run_again() {
    let mut outcomes = Vec::new();
    for path in ["/s/run", "/i/run"] {
        let name = format!("own-421{}", path.replace('/', "-"));
        let (status, seal, run_count) = outcome_of(&name, MISDIRECTED_REQUEST, path);
        outcomes.push((path, status, seal, run_count));
    }
    let expected = [("/s/run", 502, None, 1), ("/i/run", 502, None, 2)];
    assert_eq!(outcomes, expected);
}

#[test]
fn a_server_error_of_a_request_that_ran_keeps_its_status() {
    let seal = Some("s".to_owned());
    let outcome = outcome_of("own-error", "500 Internal Server Error", "/o/run");
    assert_eq!(outcome, (500, seal.clone(), 1));
    for status in [SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS, REQUEST_TIMEOUT] {
        let name = format!("own-idempotent-{}", &status[..3]);
        let (received, received_seal, run_count) = outcome_of(&name, status, "/i/run");
        assert_eq!(received.to_string(), status[..3], "{run_count} runs");
        assert_eq!(received_seal, seal, "'{status}'");
    }
}

/// Sends ids that come once to a server that is listed under two names, beside others that run
/// every request; returns the ids that ran twice, or ran and were called unrun.
fn broken_ids_of_renamed_server(
    name: &str,
    status: &'static str,
    other_count: usize,
) -> Vec<(String, u16, usize)> {
    let runs = RunCounts::default();
    let renamed = server_that_repeats_refusals(status, runs.clone());
    let others = (0..other_count).map(|_| server_that_answers("200 OK", runs.clone()));
    let servers = [renamed, renamed].into_iter().chain(others).collect();
    let node = Node::start_before(name, servers);
    let mut broken = Vec::new();
    for index in 0..RENAMED_IDS {
        let id = format!("r-{index}");
        let (received, _, _) = node.request_as(&id, "/o/run", "key-1");
        let run_count = runs_of(&runs, &id);
        if run_count > 1 || run_count == 1 && NOT_RUN_STATUSES.contains(&received) {
            broken.push((id, received, run_count));
        }
    }
    assert!(!runs.lock().unwrap().is_empty(), "no request was run");
    broken
}

#[test]
fn an_id_refused_under_a_servers_old_name_is_not_called_unrun_once_it_runs_under_its_new_one() {
    let mut broken = Vec::new();
    for status in [MISDIRECTED_REQUEST, SERVICE_UNAVAILABLE] {
        for other_count in [0, 1, 4] {
            let name = format!("renamed-{}-{other_count}", &status[..3]);
            let ids = broken_ids_of_renamed_server(&name, status, other_count);
            if !ids.is_empty() {
                broken.push((name, ids));
            }
        }
    }
    assert!(broken.is_empty(), "id, status, runs: {broken:?}");
}

/// Server that writes the previous response of a connection once more before that to `/o/run`.
fn server_that_repeats_responses() -> SocketAddr {
    let previous: Mutex<HashMap<SocketAddr, String>> = Mutex::default();
    spawn_raw_server(move |RawRequest { id, path, .. }, stream: &mut TcpStream| {
        let peer = stream.peer_addr()?;
        let headers = format!("x-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {id}\r\n");
        let response = raw_response("200 OK", &headers, "done");
        let copy = previous.lock().unwrap().insert(peer, response.clone());
        if let Some(copy) = copy.filter(|_| path == "/o/run") {
            stream.write_all(copy.as_bytes())?;
        }
        stream.write_all(response.as_bytes())
    })
}

#[test]
fn a_request_before_servers_that_write_responses_twice_is_not_rejected_as_one_that_crashes_them() {
    let servers = (0..4).map(|_| server_that_repeats_responses()).collect();
    let node = Node::start_before("copies-no-crash", servers);
    let mut statuses = Vec::new();
    for round in 0..12 {
        for index in 0..8 {
            node.request_as(&format!("w-{round}-{index}"), "/o/other", "key-1");
        }
        let (status, body, _) = node.request_as(&format!("r-{round}"), "/o/run", "key-1");
        statuses.push((status, body));
        std::thread::sleep(REPEAT_PAUSE * 3);
    }
    let is_rejected = |(status, _): &(u16, String)| *status == 503;
    assert!(!statuses.iter().any(is_rejected), "{statuses:?}");
}
