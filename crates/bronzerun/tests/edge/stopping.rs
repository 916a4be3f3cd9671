//! Requests on kept connections while a node stops as planned.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::raw::{raw_response, spawn_raw_server};
use crate::{CONDITION_TIMEOUT, Node, wait_line};

/// Time that the server takes for a request.
const SERVER_TIME: Duration = Duration::from_millis(1_900);
/// Clients, whose requests are spread over the whole time of the stop.
const CLIENTS: u32 = 24;
/// Time from a client's request to that of the next one.
const CLIENT_INTERVAL: Duration = Duration::from_millis(330);

/// Sends a request on an open connection; returns the response, empty if there is none.
fn ask(stream: &mut TcpStream, id: &str) -> String {
    let head = format!(
        "GET /o/slow HTTP/1.1\r\nhost: a.example\r\napi-key: key-1\r\nx-bronzerun-request-id: {id}\r\nx-bronzerun-deadline-ms: 4000\r\n\r\n"
    );
    // The node may have closed the connection.
    let _ = stream.write_all(head.as_bytes());
    let mut bytes = [0; 4_096];
    let count = stream.read(&mut bytes).unwrap_or(0);
    String::from_utf8_lossy(&bytes[..count]).into_owned()
}

#[test]
fn requests_that_come_late_in_a_planned_stop_are_answered_or_never_taken() {
    let runs = Arc::new(AtomicUsize::new(0));
    let counter = runs.clone();
    let server = spawn_raw_server(move |request, stream| {
        counter.fetch_add(1, Ordering::SeqCst);
        std::thread::sleep(SERVER_TIME);
        let id = &request.id;
        let headers = format!("x-bronzerun-response-seal: s\r\nx-bronzerun-request-id: {id}\r\n");
        stream.write_all(raw_response("200 OK", &headers, "done").as_bytes())
    });
    let node = Node::start_before("late", vec![server; 3]);
    let ingress = node.ingress;
    let connections = (0..CLIENTS).map(|_| TcpStream::connect(ingress).unwrap());
    let connections: Vec<_> = connections.collect();
    node.signal(Signal::TERM);
    wait_line(&node.lines, "stopping: no longer ready");
    let stopped_at = Instant::now();
    let clients = (0_u32..).zip(connections).map(|(client, mut stream)| {
        std::thread::spawn(move || {
            stream.set_read_timeout(Some(CONDITION_TIMEOUT)).unwrap();
            let at = stopped_at + CLIENT_INTERVAL * client;
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            ask(&mut stream, &format!("late-{client}"))
        })
    });
    let clients: Vec<_> = clients.collect();
    let responses: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    let answered = responses
        .iter()
        .filter(|response| response.starts_with("HTTP/1.1 200"));
    let (answered, runs) = (answered.count(), runs.load(Ordering::SeqCst));
    assert!(answered > 0, "{responses:?}");
    assert_eq!(
        answered, runs,
        "a request was taken and not answered: {responses:?}"
    );
}
