//! Servers that fall silent within a response and go on later.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::raw::{RawRequest, raw_response, read_stream, spawn_raw_server};
use crate::{CONDITION_TIMEOUT, Node, POLL_INTERVAL, wait_line};

/// Silence of a sound server that no other one could take a request from.
const PAUSE: Duration = Duration::from_millis(1_200);
/// Time for a node to handle what the next server does with a request.
const NEXT_SERVER_TIME: Duration = Duration::from_millis(300);
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Number of the last event.
const LAST: u64 = 6;
/// Number of the last event before the silence.
const BEFORE: u64 = 3;
const DEADLINE_MS: u32 = 20_000;
const STREAM_REQUEST: &str = "GET /l/stream HTTP/1.1\r\nhost: a.example\r\napi-key: key-1\r\nx-bronzerun-request-id: r-1\r\nx-bronzerun-deadline-ms: 20000\r\nconnection: close\r\n\r\n";

fn event(id: u64) -> String {
    format!("id: {id}\ndata: event {id}\n\n")
}

fn all_events() -> String {
    (1..=LAST).map(event).collect()
}

/// Connection of a server that sends a stream.
struct StreamWriter<'a> {
    stream: &'a mut TcpStream,
}

impl<'a> StreamWriter<'a> {
    fn start(request: &RawRequest, stream: &'a mut TcpStream) -> std::io::Result<Self> {
        let id = &request.id;
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        Ok(Self { stream })
    }

    fn events(&mut self, ids: RangeInclusive<u64>) -> std::io::Result<()> {
        for id in ids {
            let event = event(id);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            self.stream.write_all(chunk.as_bytes())?;
            std::thread::sleep(EVENT_INTERVAL);
        }
        Ok(())
    }

    fn end(self) -> std::io::Result<()> {
        self.stream.write_all(b"0\r\n\r\n")
    }
}

/// Requests that servers have got, with the last event of each.
#[derive(Clone, Default)]
struct RequestLog(Arc<Mutex<Vec<Option<u64>>>>);

impl RequestLog {
    /// Adds a request; returns whether it is the first one.
    fn add(&self, request: &RawRequest) -> bool {
        let mut requests = self.0.lock().unwrap();
        requests.push(request.last_event);
        requests.len() == 1
    }

    fn all(&self) -> Vec<Option<u64>> {
        self.0.lock().unwrap().clone()
    }

    /// Waits until the next server has got the request, and some time for what it does with it.
    fn wait_moved(&self) {
        wait("the request was sent to no other server", || {
            self.all().len() > 1
        });
        std::thread::sleep(NEXT_SERVER_TIME);
    }
}

fn wait(failure: &str, is_true: impl Fn() -> bool) {
    let end = Instant::now() + CONDITION_TIMEOUT;
    while !is_true() {
        assert!(Instant::now() < end, "{failure}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Sends a stream that is silent after the third event until it has moved.
fn pause_and_go_on(
    request: &RawRequest,
    stream: &mut TcpStream,
    log: &RequestLog,
) -> std::io::Result<()> {
    let mut writer = StreamWriter::start(request, stream)?;
    writer.events(1..=BEFORE)?;
    log.wait_moved();
    writer.events(BEFORE + 1..=LAST)?;
    writer.end()
}

/// Resumes a stream after the last event that the client has got.
fn resume(request: &RawRequest, stream: &mut TcpStream, _: &RequestLog) -> std::io::Result<()> {
    let mut writer = StreamWriter::start(request, stream)?;
    writer.events(request.last_event.unwrap_or(0) + 1..=LAST)?;
    writer.end()
}

/// Rejects a request that was not run.
fn reject(request: &RawRequest, stream: &mut TcpStream, _: &RequestLog) -> std::io::Result<()> {
    let id = &request.id;
    let headers = format!("x-bronzerun-not-executed: 1\r\nx-bronzerun-request-id: {id}\r\n");
    stream.write_all(raw_response("503 Service Unavailable", &headers, "").as_bytes())
}

fn answer(request: &RawRequest, stream: &mut TcpStream, _: &RequestLog) -> std::io::Result<()> {
    let id = &request.id;
    let headers = format!("x-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {id}\r\n");
    stream.write_all(raw_response("200 OK", &headers, "done").as_bytes())
}

/// Waits until the other side has closed the connection.
fn wait_closed(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.set_read_timeout(Some(CONDITION_TIMEOUT))?;
    let mut byte = [0];
    match stream.read(&mut byte) {
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Err(error),
        _ => Ok(()),
    }
}

/// Servers that treat the first request and those after it in different ways, whichever of them
/// gets them.
struct Servers {
    addresses: Vec<SocketAddr>,
    log: RequestLog,
}

impl Servers {
    fn new<F, L>(count: usize, first: F, later: L) -> Self
    where
        F: Fn(&RawRequest, &mut TcpStream, &RequestLog) -> std::io::Result<()>
            + Send
            + Sync
            + 'static,
        L: Fn(&RawRequest, &mut TcpStream, &RequestLog) -> std::io::Result<()>
            + Send
            + Sync
            + 'static,
    {
        let log = RequestLog::default();
        let (first, later) = (Arc::new(first), Arc::new(later));
        let addresses = (0..count).map(|_| {
            let (log, first, later) = (log.clone(), first.clone(), later.clone());
            spawn_raw_server(move |request, stream| {
                let prefixes = ["/l/", "/i/"];
                if !prefixes
                    .iter()
                    .any(|prefix| request.path.starts_with(prefix))
                {
                    // A node finds out whether servers respond.
                    return answer(request, stream, &log);
                }
                match log.add(request) {
                    true => first(request, stream, &log),
                    false => later(request, stream, &log),
                }
            })
        });
        let addresses = addresses.collect();
        Self { addresses, log }
    }

    fn requests(&self) -> Vec<Option<u64>> {
        self.log.all()
    }
}

#[test]
fn a_stream_whose_only_server_pauses_arrives_whole() {
    let pauses = |request: &RawRequest, stream: &mut TcpStream, _: &RequestLog| {
        let mut writer = StreamWriter::start(request, stream)?;
        writer.events(1..=BEFORE)?;
        std::thread::sleep(PAUSE);
        writer.events(BEFORE + 1..=LAST)?;
        writer.end()
    };
    let servers = Servers::new(1, pauses, reject);
    let node = Node::start_before("only", servers.addresses.clone());
    let stream = read_stream(node.ingress, "/l/stream", DEADLINE_MS);
    assert_eq!(stream, (all_events(), true));
    assert_eq!(servers.requests().len(), 1);
}

#[test]
fn a_stream_of_a_server_that_pauses_arrives_whole_if_the_next_one_rejects_it() {
    let servers = Servers::new(2, pause_and_go_on, reject);
    let node = Node::start_before("rejects", servers.addresses.clone());
    let stream = read_stream(node.ingress, "/l/stream", DEADLINE_MS);
    assert_eq!(stream, (all_events(), true));
    assert_eq!(servers.requests(), [None, Some(BEFORE)]);
}

#[test]
fn a_stream_of_a_server_that_pauses_arrives_whole_if_the_next_one_responds_with_something_else() {
    let responses = [
        "500 Internal Server Error\r\ncontent-type: text/plain",
        "404 Not Found\r\ncontent-type: text/event-stream",
        "200 OK\r\ncontent-type: application/json",
        "204 No Content",
        "302 Found\r\nlocation: /elsewhere",
    ];
    for (index, response) in responses.into_iter().enumerate() {
        let servers = Servers::new(2, pause_and_go_on, move |request, stream, _| {
            let id = &request.id;
            let headers =
                format!("x-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {id}\r\n");
            let body = if response.starts_with("204") {
                ""
            } else {
                "{}\n\n"
            };
            stream.write_all(raw_response(response, &headers, body).as_bytes())
        });
        let node = Node::start_before(&format!("other-{index}"), servers.addresses.clone());
        let stream = read_stream(node.ingress, "/l/stream", DEADLINE_MS);
        assert_eq!(stream, (all_events(), true), "'{response}'");
        assert_eq!(servers.requests().len(), 2, "'{response}'");
    }
}

#[test]
fn a_stream_of_a_server_that_pauses_arrives_whole_if_the_next_one_breaks_off() {
    let servers = Servers::new(2, pause_and_go_on, |request, stream, _| {
        StreamWriter::start(request, stream)?;
        std::thread::sleep(EVENT_INTERVAL);
        stream.shutdown(Shutdown::Both)
    });
    let node = Node::start_before("breaks", servers.addresses.clone());
    let stream = read_stream(node.ingress, "/l/stream", DEADLINE_MS);
    assert_eq!(stream, (all_events(), true));
    assert_eq!(servers.requests().len(), 2);
}

#[test]
fn a_server_that_goes_on_while_the_next_one_has_its_request_sends_each_event_once() {
    // The next one sends nothing, or only the head of its response.
    for (index, has_head) in [false, true].into_iter().enumerate() {
        let servers = Servers::new(2, pause_and_go_on, move |request, stream, _| {
            if has_head {
                StreamWriter::start(request, stream)?;
            }
            wait_closed(stream)
        });
        let node = Node::start_before(&format!("goes-on-{index}"), servers.addresses.clone());
        let stream = read_stream(node.ingress, "/l/stream", DEADLINE_MS);
        assert_eq!(stream, (all_events(), true), "head sent: {has_head}");
        assert_eq!(servers.requests().len(), 2, "head sent: {has_head}");
    }
}

#[test]
fn a_stream_goes_on_at_the_next_server_after_the_last_event_of_a_silent_one() {
    let silent = |request: &RawRequest, stream: &mut TcpStream, _: &RequestLog| {
        StreamWriter::start(request, stream)?.events(1..=BEFORE)?;
        wait_closed(stream)
    };
    let servers = Servers::new(2, silent, resume);
    let node = Node::start_before("resumes", servers.addresses.clone());
    let stream = read_stream(node.ingress, "/l/stream", DEADLINE_MS);
    assert_eq!(stream, (all_events(), true));
    assert_eq!(servers.requests(), [None, Some(BEFORE)]);
}

#[test]
fn a_stream_of_a_server_that_breaks_off_after_the_next_one_has_its_request_arrives_whole() {
    let breaks_off = |request: &RawRequest, stream: &mut TcpStream, log: &RequestLog| {
        StreamWriter::start(request, stream)?.events(1..=BEFORE)?;
        log.wait_moved();
        stream.shutdown(Shutdown::Both)
    };
    let resumes_later = |request: &RawRequest, stream: &mut TcpStream, log: &RequestLog| {
        std::thread::sleep(PAUSE);
        resume(request, stream, log)
    };
    let servers = Servers::new(2, breaks_off, resumes_later);
    let node = Node::start_before("breaks-off", servers.addresses.clone());
    let stream = read_stream(node.ingress, "/l/stream", DEADLINE_MS);
    assert_eq!(stream, (all_events(), true));
    assert_eq!(servers.requests(), [None, Some(BEFORE)]);
}

#[test]
fn a_stream_that_has_not_begun_at_a_silent_server_is_not_lost_if_the_next_one_rejects_it() {
    let begins_late = |request: &RawRequest, stream: &mut TcpStream, log: &RequestLog| {
        log.wait_moved();
        resume(request, stream, log)
    };
    let servers = Servers::new(2, begins_late, reject);
    let node = Node::start_before("begins-late", servers.addresses.clone());
    let stream = read_stream(node.ingress, "/l/stream", DEADLINE_MS);
    assert_eq!(stream, (all_events(), true));
    assert_eq!(servers.requests().len(), 2);
}

#[test]
fn a_client_that_leaves_closes_the_connections_to_both_servers() {
    let closed = Arc::new(AtomicUsize::new(0));
    let (first_closed, later_closed) = (closed.clone(), closed.clone());
    let first = move |request: &RawRequest, stream: &mut TcpStream, _: &RequestLog| {
        StreamWriter::start(request, stream)?.events(1..=BEFORE)?;
        wait_closed(stream)?;
        first_closed.fetch_add(1, Ordering::SeqCst);
        Ok(())
    };
    let later = move |_: &RawRequest, stream: &mut TcpStream, _: &RequestLog| {
        wait_closed(stream)?;
        later_closed.fetch_add(1, Ordering::SeqCst);
        Ok(())
    };
    let servers = Servers::new(2, first, later);
    let node = Node::start_before("leaves", servers.addresses.clone());
    let mut client = TcpStream::connect(node.ingress).unwrap();
    client.write_all(STREAM_REQUEST.as_bytes()).unwrap();
    wait("the stream never moved", || servers.requests().len() == 2);
    drop(client);
    wait("a connection stayed open", || {
        closed.load(Ordering::SeqCst) == 2
    });
}

#[test]
fn an_idempotent_request_of_a_server_that_pauses_is_answered() {
    let answers_late = |request: &RawRequest, stream: &mut TcpStream, log: &RequestLog| {
        log.wait_moved();
        answer(request, stream, log)
    };
    let never = |_: &RawRequest, stream: &mut TcpStream, _: &RequestLog| wait_closed(stream);
    let breaks_off =
        |_: &RawRequest, stream: &mut TcpStream, _: &RequestLog| stream.shutdown(Shutdown::Both);
    let cases = [
        ("sound", Servers::new(2, answers_late, answer)),
        ("rejects", Servers::new(2, answers_late, reject)),
        ("silent", Servers::new(2, answers_late, never)),
        ("broken", Servers::new(2, answers_late, breaks_off)),
        ("first-broken", Servers::new(2, never, answer)),
    ];
    for (name, servers) in cases {
        let node = Node::start_before(&format!("plain-{name}"), servers.addresses.clone());
        let (body, is_whole) = plain_response(&node);
        assert_eq!(
            (body.as_str(), is_whole),
            ("done", true),
            "next one: {name}"
        );
        assert_eq!(servers.requests().len(), 2, "next one: {name}");
    }
}

#[test]
fn an_idempotent_request_is_answered_if_the_next_server_stops_within_its_body() {
    let answers_late = |request: &RawRequest, stream: &mut TcpStream, log: &RequestLog| {
        log.wait_moved();
        answer(request, stream, log)
    };
    let stops_within_body = |request: &RawRequest, stream: &mut TcpStream, _: &RequestLog| {
        let id = &request.id;
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\nx-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {id}\r\n\r\nhalf"
        );
        stream.write_all(head.as_bytes())?;
        wait_closed(stream)
    };
    let servers = Servers::new(2, answers_late, stops_within_body);
    let node = Node::start_before("plain-half", servers.addresses.clone());
    assert_eq!(plain_response(&node), ("done".to_owned(), true));
}

/// Body of the response to an idempotent request, and whether it is a success.
fn plain_response(node: &Node) -> (String, bool) {
    let mut client = TcpStream::connect(node.ingress).unwrap();
    client.set_read_timeout(Some(CONDITION_TIMEOUT)).unwrap();
    client
        .write_all(b"GET /i/item HTTP/1.1\r\nhost: a.example\r\napi-key: key-1\r\nx-bronzerun-request-id: r-1\r\nx-bronzerun-deadline-ms: 20000\r\nconnection: close\r\n\r\n")
        .unwrap();
    let mut text = String::new();
    client.read_to_string(&mut text).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
    (body.to_owned(), head.starts_with("HTTP/1.1 200"))
}

#[test]
fn a_stream_of_a_server_that_pauses_arrives_whole_from_a_node_that_stops() {
    let servers = Servers::new(2, pause_and_go_on, reject);
    let node = Node::start_before("stops", servers.addresses.clone());
    let ingress = node.ingress;
    let client = std::thread::spawn(move || read_stream(ingress, "/l/stream", DEADLINE_MS));
    wait_line(&node.lines, "attempt started");
    node.signal(Signal::TERM);
    wait_line(&node.lines, "stopping: no longer ready");
    assert_eq!(client.join().unwrap(), (all_events(), true));
}

#[test]
fn a_stream_whose_client_reads_slowly_is_not_moved() {
    let flood = |request: &RawRequest, stream: &mut TcpStream, _: &RequestLog| {
        let writer = StreamWriter::start(request, stream)?;
        for id in 1..=FLOOD_EVENTS {
            let event = flood_event(id);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            writer.stream.write_all(chunk.as_bytes())?;
        }
        writer.end()
    };
    let servers = Servers::new(2, flood, reject);
    let node = Node::start_before("slow-reader", servers.addresses.clone());
    let mut client = TcpStream::connect(node.ingress).unwrap();
    client.set_read_timeout(Some(CONDITION_TIMEOUT)).unwrap();
    client.write_all(STREAM_REQUEST.as_bytes()).unwrap();
    std::thread::sleep(PAUSE * 2);
    let mut bytes = Vec::new();
    client.read_to_end(&mut bytes).unwrap();
    let text = String::from_utf8(bytes).unwrap();
    assert!(text.ends_with("0\r\n\r\n"), "the stream broke off");
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u64> = ids.map(|id| id.parse().unwrap()).collect();
    assert!(ids.iter().copied().eq(1..=FLOOD_EVENTS), "{ids:?}");
    assert_eq!(servers.requests().len(), 1);
}

/// Events that fill the buffers between a server and a client that does not read.
const FLOOD_EVENTS: u64 = 400;

fn flood_event(id: u64) -> String {
    format!("id: {id}\ndata: {}\n\n", "x".repeat(64 * 1_024))
}
