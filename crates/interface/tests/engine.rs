//! Orders to engines and their reports, where an engine writes an answer once more.
//!
//! Guards against a failure in which the copy of an earlier answer, which comes where the next one
//! is due, is taken for that one.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use base::prelude::*;
use groups::HostOrder;
use interface::{EngineClient, HttpEngineClient, OrderOutcome, ReportOutcome};
use net::SystemClock;

/// Timeout of a request, all of which get an answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Requests that a test sends one after the other.
const REQUESTS: u32 = 4;

/// Engine that writes each answer once more when the next request on its connection arrives.
///
/// It refuses every other order as fenced, and its reports count the requests that it received.
fn start_engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let received = Arc::new(AtomicU32::new(0));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, received) = (stream.unwrap(), received.clone());
            thread::spawn(move || respond(stream, &received));
        }
    });
    address
}

fn respond(mut stream: TcpStream, received: &AtomicU32) {
    let mut buffer = [0; 4_096];
    let mut earlier = String::new();
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        let count = received.fetch_add(1, Ordering::SeqCst) + 1;
        let is_order = buffer[..read].starts_with(b"POST");
        let status = if is_order && count % 2 == 1 {
            "409 Conflict"
        } else {
            "200 OK"
        };
        let body = format!(
            r#"{{"host":"host-1","incarnation":1,"assignment":null,"phase":"idle","model":null,"running":{count},"waiting":0}}"#
        );
        let length = body.len();
        let answer = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}");
        let written = stream.write_all(format!("{earlier}{answer}").as_bytes());
        if written.is_err() {
            return;
        }
        earlier = answer;
    }
}

fn new_client() -> (Rc<SystemClock>, HttpEngineClient) {
    let clock = Rc::new(SystemClock::default());
    let client = HttpEngineClient::new(clock.clone());
    (clock, client)
}

/// Lets the tasks run that return connections to the pool.
async fn return_connections() {
    monoio::time::sleep(Duration::from_millis(1)).await;
}

#[test]
fn a_refusal_written_again_is_not_the_outcome_of_the_next_order() {
    let engine = start_engine();
    let outcomes = net::block_on(async move {
        let (clock, client) = new_client();
        let mut outcomes = Vec::new();
        for token in 1..=REQUESTS {
            let order = HostOrder::Idle {
                incarnation: HostIncarnation(1),
                token: FencingToken(u64::from(token)),
            };
            let deadline = clock.now() + RESPONSE_TIMEOUT;
            outcomes.push(client.order(engine, order, deadline).await);
            return_connections().await;
        }
        outcomes
    });
    let own = [OrderOutcome::Fenced, OrderOutcome::Accepted].repeat(2);
    assert_eq!(outcomes.unwrap(), own);
}

#[test]
fn a_report_written_again_is_not_taken_for_a_newer_one() {
    let engine = start_engine();
    let reports = net::block_on(async move {
        let (clock, client) = new_client();
        let mut reports = Vec::new();
        for _ in 0..REQUESTS {
            let deadline = clock.now() + RESPONSE_TIMEOUT;
            reports.push(match client.report(engine, deadline).await {
                ReportOutcome::Reported(report) => report.load.running,
                ReportOutcome::Silent => 0,
            });
            return_connections().await;
        }
        reports
    });
    let own: Vec<u32> = (1..=REQUESTS).collect();
    assert_eq!(reports.unwrap(), own);
}
