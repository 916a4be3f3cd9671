//! Servers that repeat refusals, break streams off, leave or turn requests away.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::raw::{RawRequest, raw_response, read_stream, spawn_raw_server};
use crate::{CONDITION_TIMEOUT, Node};

/// Server that refuses `/o/refuse`, and writes that refusal once more, with these headers, before
/// its answer to the next request, which it runs.
fn server_that_repeats_a_refusal(repeated: &'static str, runs: Arc<AtomicUsize>) -> SocketAddr {
    spawn_raw_server(move |request, stream| {
        let id = &request.id;
        if request.path == "/o/refuse" {
            let headers =
                format!("x-bronzerun-not-executed: 1\r\nx-bronzerun-request-id: {id}\r\n");
            let refusal = raw_response("503 Service Unavailable", &headers, "");
            return stream.write_all(refusal.as_bytes());
        }
        runs.fetch_add(1, Ordering::SeqCst);
        stream.write_all(raw_response(repeated, "", "").as_bytes())?;
        let headers = format!("x-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {id}\r\n");
        stream.write_all(raw_response("200 OK", &headers, "done").as_bytes())
    })
}

#[test]
fn a_refusal_written_once_more_is_not_passed_on_for_a_request_that_runs() {
    let repeated = [
        "503 Service Unavailable\r\nx-bronzerun-not-executed: 1\r\nx-bronzerun-request-id: r-refused",
        "503 Service Unavailable\r\nx-bronzerun-not-executed: 1",
        "421 Misdirected Request",
        "429 Too Many Requests\r\nx-bronzerun-not-executed: 1",
    ];
    for (index, repeated) in repeated.into_iter().enumerate() {
        let runs = Arc::new(AtomicUsize::new(0));
        let servers = (0..2).map(|_| server_that_repeats_a_refusal(repeated, runs.clone()));
        let node = Node::start_before(&format!("refusal-{index}"), servers.collect());
        let refused = node.request_as("r-refused", "/o/refuse", "key-1");
        assert_eq!(refused.0, 503);
        let (status, _, _) = node.request_as("r-2", "/o/run", "key-1");
        let runs = runs.load(Ordering::SeqCst);
        assert!(
            ![408, 421, 429, 503].contains(&status),
            "'{repeated}': status {status} after {runs} runs"
        );
        assert_eq!(runs, 1, "'{repeated}'");
    }
}

/// Server that sends three events of a stream and breaks off within the fourth.
fn server_that_breaks_off(request: &RawRequest, stream: &mut TcpStream) -> std::io::Result<()> {
    let id = &request.id;
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {id}\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\nda";
    let chunk = format!("{:x}\r\n{events}\r\n", events.len());
    stream.write_all(format!("{head}{chunk}").as_bytes())?;
    // Time for the node to pass the events on.
    std::thread::sleep(Duration::from_millis(50));
    stream.shutdown(std::net::Shutdown::Both)
}

#[test]
fn a_stream_that_broke_off_does_not_go_on_with_the_next_servers_error() {
    let errors = [
        "500 Internal Server Error\r\ncontent-type: text/plain",
        "503 Service Unavailable\r\nx-bronzerun-not-executed: 1",
        "404 Not Found\r\ncontent-type: text/event-stream",
        "200 OK\r\ncontent-type: application/json",
        "204 No Content",
        "302 Found\r\nlocation: /elsewhere",
    ];
    for (index, error) in errors.into_iter().enumerate() {
        let begun = Arc::new(AtomicUsize::new(0));
        let server = || {
            let begun = begun.clone();
            spawn_raw_server(move |request, stream| {
                if begun.fetch_add(1, Ordering::SeqCst) == 0 {
                    return server_that_breaks_off(request, stream);
                }
                let id = &request.id;
                let headers =
                    format!("x-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {id}\r\n");
                let body = if error.starts_with("204") {
                    ""
                } else {
                    "{\"error\":\"x\"}\n\n"
                };
                stream.write_all(raw_response(error, &headers, body).as_bytes())
            })
        };
        let servers = vec![server(), server()];
        let node = Node::start_before(&format!("broken-{index}"), servers);
        let (body, is_whole) = read_stream(node.ingress, "/r/stream", 3_000);
        assert_eq!(
            body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n",
            "'{error}'"
        );
        assert!(!is_whole, "'{error}': the stream looks complete");
        assert!(
            begun.load(Ordering::SeqCst) >= 2,
            "'{error}': never resumed"
        );
    }
}

/// Server that answers each request with this status and these headers, and counts them.
fn counting_server(status: &'static str, headers: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let counter = count.clone();
    let address = spawn_raw_server(move |request, stream| {
        counter.fetch_add(1, Ordering::SeqCst);
        let id = &request.id;
        let headers =
            format!("x-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {id}\r\n{headers}");
        stream.write_all(raw_response(status, &headers, "").as_bytes())
    });
    (address, count)
}

/// Sends requests until the server has got one, then twenty more; returns how many of these the
/// server got.
fn requests_after_first(node: &Node, count: &AtomicUsize) -> usize {
    let end = Instant::now() + CONDITION_TIMEOUT;
    let mut id = 0;
    while count.load(Ordering::SeqCst) == 0 {
        assert!(Instant::now() < end, "the server got no request");
        id += 1;
        node.request_as(&format!("r-{id}"), "/o/any", "key-1");
    }
    // The announcement is passed to the event loop with the response.
    std::thread::sleep(Duration::from_millis(50));
    let before = count.load(Ordering::SeqCst);
    for later in 0..20 {
        node.request_as(&format!("later-{later}"), "/o/any", "key-1");
    }
    count.load(Ordering::SeqCst) - before
}

#[test]
fn a_server_that_says_it_leaves_gets_no_requests_although_the_store_lists_it() {
    let (leaving, count) = counting_server("200 OK", "server-leaving: 1\r\n");
    let (other, _) = counting_server("200 OK", "");
    let node = Node::start_before("leaving", vec![leaving, other]);
    assert_eq!(requests_after_first(&node, &count), 0);
}

#[test]
fn a_server_that_turns_requests_away_with_a_time_gets_none_in_that_time() {
    let headers = "x-bronzerun-not-executed: 1\r\nretry-after: 600\r\n";
    let (busy, count) = counting_server("503 Service Unavailable", headers);
    let (other, _) = counting_server("200 OK", "");
    let node = Node::start_before("busy", vec![busy, other]);
    assert_eq!(requests_after_first(&node, &count), 0);
}

/// Server that closes the connection within the head of its answer, after this much of it.
fn server_that_closes_within_its_head(head: &'static str) -> SocketAddr {
    spawn_raw_server(move |request, stream| {
        let head = head.replace("ID", &request.id);
        stream.write_all(head.as_bytes())?;
        std::thread::sleep(Duration::from_millis(20));
        stream.shutdown(std::net::Shutdown::Both)
    })
}

#[test]
fn a_server_that_closes_within_the_head_of_its_answer_gives_no_complete_response() {
    let heads = [
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nx-bronzerun-response-seal: s\r\nx-bronzerun-request-id: ID\r\n",
        "HTTP/1.1 200 OK\r\nx-bronzerun-response-seal: s\r\nx-bronzerun-request-id: ID\r\n\r",
        "HTTP/1.1 200 OK\r\nx-bronzerun-response-seal: s\r\nx-bronzerun-request-id: ID\r\ncontent-length: 0",
        "HTTP/1.1 200 OK\r\nx-bronzerun-response-seal: s\r\nx-bronzerun-request-id: ID\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunk",
        "HTTP/1.0 200 OK\r\nx-bronzerun-response-seal: s\r\nx-bronzerun-request-id: ID\r\nconnection: close\r\n",
    ];
    for (index, head) in heads.into_iter().enumerate() {
        let servers = (0..2).map(|_| server_that_closes_within_its_head(head));
        let node = Node::start_before(&format!("head-{index}"), servers.collect());
        for path in ["/o/any", "/s/any", "/r/any"] {
            let (status, body, seal) = node.request_as("r-1", path, "key-1");
            assert_eq!(
                (status, seal),
                (502, None),
                "{path} after {head:?}: {body:?}"
            );
        }
    }
}
