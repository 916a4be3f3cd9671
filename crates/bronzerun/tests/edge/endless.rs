//! Servers whose answers have no end.

use std::io::Write;
use std::net::SocketAddr;

use crate::raw::{raw_response, spawn_raw_server};
use crate::{Node, request_at, wait_line};

/// Requests at a time that get such an answer.
const CALLERS: usize = 24;
/// Memory that a node may take; a user's node has 260 MB.
const MAX_RESIDENT_KB: u64 = 130_000;

/// Server that answers `/o/fine`, and everything else with a pattern until its client closes.
fn server_without_end(start: &'static str, pattern: &'static str) -> SocketAddr {
    spawn_raw_server(move |request, stream| {
        let headers = format!(
            "x-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {}\r\n",
            request.id
        );
        if request.path == "/o/fine" {
            return stream.write_all(raw_response("200 OK", &headers, "fine").as_bytes());
        }
        stream.write_all(format!("HTTP/1.1 200 OK\r\n{headers}{start}").as_bytes())?;
        let pattern = pattern.repeat(64 * 1_024 / pattern.len());
        loop {
            stream.write_all(pattern.as_bytes())?;
        }
    })
}

/// Most memory that the node has had, in kilobytes.
fn peak_resident_kb(node: &Node) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let size = line.and_then(|line| line.split_whitespace().nth(1));
    size.unwrap().parse().unwrap()
}

#[test]
fn answers_without_end_take_neither_a_nodes_memory_nor_other_requests() {
    let chunked = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let floods = [
        ("one-byte chunks", chunked, "1\r\na\r\n"),
        ("chunk size", chunked, "0"),
        (
            "an event",
            "content-type: text/event-stream\r\n\r\n",
            "data: a\n",
        ),
        ("headers", "", "a: b\r\n"),
    ];
    for (index, (name, start, pattern)) in floods.into_iter().enumerate() {
        let node = Node::start_before(
            &format!("endless-{index}"),
            vec![server_without_end(start, pattern)],
        );
        std::thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS)
                .map(|caller| {
                    let path = ["/o/endless", "/s/endless", "/r/endless"][caller % 3];
                    let ingress = node.ingress;
                    scope.spawn(move || request_at(ingress, &format!("r-{caller}"), path, "key-1"))
                })
                .collect();
            for _ in 0..CALLERS {
                wait_line(&node.lines, "attempt started");
            }
            let (status, body, _) = node.request_as("r-fine", "/o/fine", "key-1");
            assert_eq!((status, body.as_str()), (200, "fine"), "beside {name}");
            for caller in callers {
                let (status, body, _) = caller.join().unwrap();
                // Zero stands for a response that was aborted.
                assert!(
                    [0, 502, 503, 504].contains(&status),
                    "{name}: {status} {body:?}"
                );
            }
        });
        let peak = peak_resident_kb(&node);
        assert!(peak <= MAX_RESIDENT_KB, "{name}: {peak} kB resident");
        eprintln!("{name}: {peak} kB resident at most");
    }
}
