//! Requests that may run once only, on ways on which a node could call one that ran unrun.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::json;

use crate::passing::start_cut_off;
use crate::raw::{RawRequest, raw_response, spawn_raw_server};
use crate::{CONDITION_TIMEOUT, Node, POLL_INTERVAL, wait_line};

/// Statuses that promise the client that its request was not run and never will be.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Time for a node to pass on what a server has written.
const RELAY_TIME: Duration = Duration::from_millis(50);
/// Time that a server takes for a request during which its node is suspended or stopped.
const SERVER_TIME: Duration = Duration::from_millis(600);
/// Suspension that is longer than the timeout of the route.
const SUSPENSION: Duration = Duration::from_millis(2_600);
/// Body that a server has not read when it answers.
const BODY_BYTES: usize = 90_000;

/// Number of runs of each request by its id.
#[derive(Clone, Default)]
struct RunCounts(Arc<Mutex<HashMap<String, usize>>>);

impl RunCounts {
    fn add(&self, id: &str) {
        *self.0.lock().unwrap().entry(id.to_owned()).or_default() += 1;
    }

    fn of(&self, id: &str) -> usize {
        self.0.lock().unwrap().get(id).copied().unwrap_or_default()
    }

    fn wait_for(&self, id: &str) {
        let end = Instant::now() + CONDITION_TIMEOUT;
        while self.of(id) == 0 {
            assert!(Instant::now() < end, "{id} never ran");
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

fn headers_of(id: &str) -> String {
    format!("x-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {id}\r\n")
}

fn refusal_of(status: &str, id: &str) -> String {
    let headers = format!("x-bronzerun-not-executed: 1\r\nx-bronzerun-request-id: {id}\r\n");
    raw_response(status, &headers, "")
}

fn stream_head(id: &str) -> String {
    let headers = headers_of(id);
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{headers}transfer-encoding: chunked\r\n\r\n"
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Head and rest of a connection's bytes to a request that runs; the last part of the path names
/// them.
fn writings(name: &str, id: &str) -> Option<(String, String)> {
    let events = chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    let (head, refusal) = (stream_head(id), refusal_of("503 Service Unavailable", id));
    Some(match name {
        "head-then-nothing" => (head, String::new()),
        "head-then-refusal" => (head, refusal),
        "events-then-nothing" => (head + &events, String::new()),
        "events-then-refusal" => (head + &events, refusal),
        "part-of-an-event-then-refusal" => (head + &chunk("id: 1\nda"), refusal),
        "whole-then-refusal" => (head + &events + "0\r\n\r\n", refusal),
        "refusal-of-another-then-whole" => (
            refusal_of("503 Service Unavailable", "r-other"),
            head + &events + "0\r\n\r\n",
        ),
        "refusal-of-none-then-whole" => (
            raw_response(
                "429 Too Many Requests",
                "x-bronzerun-not-executed: 1\r\n",
                "",
            ),
            head + &events + "0\r\n\r\n",
        ),
        "body-ends-early" => {
            let headers = headers_of(id);
            let head =
                format!("HTTP/1.1 503 Service Unavailable\r\n{headers}content-length: 50\r\n\r\n");
            (head, "half".to_owned())
        }
        "error-body-ends-early" => {
            let headers = headers_of(id);
            let head = format!(
                "HTTP/1.1 500 Internal Server Error\r\n{headers}content-length: 50\r\n\r\n"
            );
            (head, "half".to_owned())
        }
        "nothing" => (String::new(), String::new()),
        "part-of-a-head" => ("HTTP/1.1 503 Service Unava".to_owned(), String::new()),
        _ => return None,
    })
}

/// Server that runs each request, writes what the path names and closes the connection.
fn spawn_writing(runs: RunCounts) -> SocketAddr {
    spawn_raw_server(move |RawRequest { id, path, .. }, stream: &mut TcpStream| {
        let name = path.rsplit('/').next().unwrap_or_default();
        let Some((first, rest)) = writings(name, id) else {
            return stream.shutdown(Shutdown::Both);
        };
        runs.add(id);
        stream.write_all(first.as_bytes())?;
        std::thread::sleep(RELAY_TIME);
        stream.write_all(rest.as_bytes())?;
        std::thread::sleep(RELAY_TIME);
        stream.shutdown(Shutdown::Both)
    })
}

#[test]
fn a_run_whose_answer_breaks_off_or_is_followed_by_a_refusal_is_not_called_unrun() {
    let names = [
        "head-then-nothing",
        "head-then-refusal",
        "events-then-nothing",
        "events-then-refusal",
        "part-of-an-event-then-refusal",
        "whole-then-refusal",
        "refusal-of-another-then-whole",
        "refusal-of-none-then-whole",
        "body-ends-early",
        "error-body-ends-early",
        "nothing",
        "part-of-a-head",
    ];
    let runs = RunCounts::default();
    let servers = (0..3).map(|_| spawn_writing(runs.clone())).collect();
    let node = Node::start_before("writings", servers);
    let (mut broken, mut ran) = (Vec::new(), 0);
    for route in ["s", "o"] {
        for name in names {
            let id = format!("{route}-{name}");
            let (status, _, _) = node.request_as(&id, &format!("/{route}/{name}"), "key-1");
            // A kept connection may end as the request is sent, which then has not run.
            let count = runs.of(&id);
            ran += count;
            if count > 1 || count == 1 && NOT_RUN_STATUSES.contains(&status) {
                broken.push((id, status, count));
            }
        }
    }
    assert!(broken.is_empty(), "id, status, runs: {broken:?}");
    assert!(ran >= names.len(), "{ran} requests ran");
}

/// Sends the beginning of a request and closes the connection for writing; returns what comes.
fn send_part(ingress: SocketAddr, id: &str, rest: &str) -> String {
    let mut stream = TcpStream::connect(ingress).unwrap();
    stream.set_read_timeout(Some(CONDITION_TIMEOUT)).unwrap();
    let head = format!(
        "POST /o/nothing HTTP/1.1\r\nhost: a.example\r\napi-key: key-1\r\nx-bronzerun-request-id: {id}\r\nx-bronzerun-deadline-ms: 4000\r\n{rest}"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut bytes = Vec::new();
    // A reset ends the response too.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn a_request_whose_body_stops_before_its_end_is_never_sent() {
    let runs = RunCounts::default();
    let node = Node::start_before("parts", vec![spawn_writing(runs.clone())]);
    let rests = [
        "content-length: 50\r\n\r\nhalf",
        "content-length: 50\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "transfer-encoding: chunked\r\n\r\n4\r\nha",
        "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
        "transfer-encoding: chunked\r\n\r\nxyz\r\nhalf\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 4\r\n\r\nhalf",
    ];
    for (index, rest) in rests.into_iter().enumerate() {
        let id = format!("part-{index}");
        let response = send_part(node.ingress, &id, rest);
        assert!(!response.starts_with("HTTP/1.1 2"), "{rest:?}: {response}");
    }
    // A request that comes later shows that the node has handled those before it.
    node.request_as("after", "/o/nothing", "key-1");
    assert_eq!(runs.of("after"), 1);
    let sent = (0..rests.len()).map(|index| runs.of(&format!("part-{index}")));
    assert_eq!(sent.sum::<usize>(), 0);
}

/// Sends a request with a long body; returns the status, zero if there is none.
fn post(ingress: SocketAddr, id: &str, path: &str) -> u16 {
    let mut stream = TcpStream::connect(ingress).unwrap();
    stream.set_read_timeout(Some(CONDITION_TIMEOUT)).unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\napi-key: key-1\r\nx-bronzerun-request-id: {id}\r\nx-bronzerun-deadline-ms: 4000\r\nconnection: close\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&[b'x'; BODY_BYTES]).unwrap();
    let mut bytes = Vec::new();
    // A reset ends the response too.
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes);
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    status.unwrap_or_default()
}

/// Server that answers with what the path names before it reads the body, then reads the body and,
/// unless the answer reports otherwise, runs the request. Before its answer to a path without
/// `early` it writes its last early answer once more.
fn spawn_early(runs: RunCounts) -> SocketAddr {
    let last: Mutex<HashMap<SocketAddr, String>> = Mutex::default();
    spawn_raw_server(move |RawRequest { id, path, .. }, stream: &mut TcpStream| {
        let peer = stream.peer_addr()?;
        let Some((_, name)) = path.split_once("early-") else {
            let copy = last.lock().unwrap().remove(&peer);
            stream.write_all(copy.unwrap_or_default().as_bytes())?;
            runs.add(id);
            return stream.write_all(raw_response("200 OK", &headers_of(id), "done").as_bytes());
        };
        let (status, is_marked, is_twice) = match name {
            "bad" => ("400 Bad Request", false, false),
            "large" => ("413 Content Too Large", false, true),
            "headers" => ("431 Request Header Fields Too Large", false, false),
            "full" => ("503 Service Unavailable", false, false),
            "limited" => ("429 Too Many Requests", false, true),
            "refused" => ("503 Service Unavailable", true, false),
            _ => ("429 Too Many Requests", true, true),
        };
        let answer = match is_marked {
            true => refusal_of(status, id),
            false => raw_response(status, &headers_of(id), ""),
        };
        stream.write_all(answer.as_bytes())?;
        if is_twice {
            stream.write_all(answer.as_bytes())?;
        }
        let mut rest = vec![0; BODY_BYTES];
        stream.read_exact(&mut rest)?;
        if !is_marked {
            runs.add(id);
        }
        last.lock().unwrap().insert(peer, answer);
        Ok(())
    })
}

#[test]
fn an_answer_before_the_body_was_read_is_no_promise_unless_it_reports_one() {
    let names = [
        "bad",
        "large",
        "headers",
        "full",
        "limited",
        "refused",
        "refused-twice",
    ];
    let runs = RunCounts::default();
    let servers = (0..2).map(|_| spawn_early(runs.clone())).collect();
    let node = Node::start_before("early", servers);
    let mut broken = Vec::new();
    for round in 0..4 {
        for name in names {
            let early = format!("early-{name}-{round}");
            let next = format!("next-{name}-{round}");
            let sent = [
                (
                    post(node.ingress, &early, &format!("/o/early-{name}")),
                    early,
                ),
                (node.request_as(&next, "/o/next", "key-1").0, next),
            ];
            // A server that is refused its answer may read the body, and run, a moment later.
            std::thread::sleep(RELAY_TIME);
            let is_broken = |(status, id): &(u16, String)| {
                let count = runs.of(id);
                count > 1 || count == 1 && NOT_RUN_STATUSES.contains(status)
            };
            broken.extend(sent.into_iter().filter(is_broken));
        }
    }
    assert!(broken.is_empty(), "status, id: {broken:?}");
    assert!(runs.0.lock().unwrap().len() > names.len(), "few ran");
}

/// Server that runs each request and answers after a while with what the path names.
fn spawn_slow(runs: RunCounts) -> SocketAddr {
    spawn_raw_server(move |RawRequest { id, path, .. }, stream: &mut TcpStream| {
        runs.add(id);
        std::thread::sleep(SERVER_TIME);
        let answer = match path.rsplit('/').next() {
            Some("done") => raw_response("200 OK", &headers_of(id), "done"),
            Some("full") => raw_response("503 Service Unavailable", &headers_of(id), ""),
            Some("limited") => raw_response("429 Too Many Requests", &headers_of(id), ""),
            _ => String::new(),
        };
        stream.write_all(answer.as_bytes())?;
        stream.shutdown(Shutdown::Both)
    })
}

#[test]
fn a_run_whose_node_was_suspended_meanwhile_is_not_called_unrun() {
    let runs = RunCounts::default();
    let servers = (0..3).map(|_| spawn_slow(runs.clone())).collect();
    let node = Node::start_before("suspended", servers);
    let mut broken = Vec::new();
    for name in ["done", "full", "limited", "closed"] {
        for route in ["o", "s"] {
            let (id, path) = (format!("{route}-{name}"), format!("/{route}/{name}"));
            let ingress = node.ingress;
            let client = {
                let id = id.clone();
                std::thread::spawn(move || crate::request_at(ingress, &id, &path, "key-1").0)
            };
            runs.wait_for(&id);
            node.signal(Signal::STOP);
            std::thread::sleep(SUSPENSION);
            node.signal(Signal::CONT);
            let status = client.join().unwrap();
            if runs.of(&id) != 1 || NOT_RUN_STATUSES.contains(&status) {
                broken.push((id.clone(), status, runs.of(&id)));
            }
        }
    }
    assert!(broken.is_empty(), "id, status, runs: {broken:?}");
}

#[test]
fn a_run_whose_node_stops_before_its_answer_is_not_called_unrun() {
    let runs = RunCounts::default();
    let slow = {
        let runs = runs.clone();
        spawn_raw_server(move |RawRequest { id, .. }, stream: &mut TcpStream| {
            runs.add(id);
            std::thread::sleep(SUSPENSION);
            stream.write_all(raw_response("200 OK", &headers_of(id), "done").as_bytes())
        })
    };
    let mut node = Node::start_before("stopping", vec![slow; 2]);
    node.settings_value["bounds"]["graceS"] = json!(1);
    std::fs::write(&node.settings_path, node.settings_value.to_string()).unwrap();
    node.signal(Signal::HUP);
    wait_line(&node.lines, "settings changed");
    let clients = ["/o/slow", "/s/slow", "/i/slow", "/l/slow"].map(|path| {
        let (ingress, id) = (node.ingress, path[1..2].to_owned());
        std::thread::spawn(move || crate::request_at(ingress, &id, path, "key-1").0)
    });
    for id in ["o", "s", "i", "l"] {
        runs.wait_for(id);
    }
    node.signal(Signal::TERM);
    let statuses = clients.map(|client| client.join().unwrap());
    let is_promise = |status: &u16| NOT_RUN_STATUSES.contains(status);
    assert!(!statuses[..2].iter().any(is_promise), "{statuses:?}");
    assert_eq!((runs.of("o"), runs.of("s")), (1, 1));
}

#[test]
fn a_run_by_way_of_a_node_that_was_suspended_meanwhile_is_not_called_unrun() {
    let runs = RunCounts::default();
    let servers = (0..2).map(|_| spawn_slow(runs.clone())).collect();
    let [cut, other] = start_cut_off("frozen", 91, None, servers);
    let end = Instant::now() + CONDITION_TIMEOUT;
    for index in 0.. {
        let id = format!("first-{index}");
        cut.request_as(&id, "/o/done", "key-1");
        if runs.of(&id) == 1 {
            break;
        }
        assert!(Instant::now() < end, "no request was passed on");
        std::thread::sleep(RELAY_TIME);
    }
    let mut outcomes = Vec::new();
    for is_sent_before in [true, false] {
        for name in ["done", "full"] {
            let id = format!("{name}-{is_sent_before}");
            let (ingress, path) = (cut.ingress, format!("/o/{name}"));
            if !is_sent_before {
                other.signal(Signal::STOP);
            }
            let client = {
                let id = id.clone();
                std::thread::spawn(move || crate::request_at(ingress, &id, &path, "key-1").0)
            };
            if is_sent_before {
                runs.wait_for(&id);
                other.signal(Signal::STOP);
            }
            std::thread::sleep(SUSPENSION);
            other.signal(Signal::CONT);
            let status = client.join().unwrap();
            // What the node had not sent on may run now.
            std::thread::sleep(SERVER_TIME);
            outcomes.push((id.clone(), status, runs.of(&id)));
        }
    }
    let is_broken = |(_, status, count): &(String, u16, usize)| {
        *count > 1 || *count == 1 && NOT_RUN_STATUSES.contains(status)
    };
    assert!(!outcomes.iter().any(is_broken), "{outcomes:?}");
}
