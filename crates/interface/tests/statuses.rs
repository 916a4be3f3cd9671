//! Clients of the platform and of engines before a peer whose responses have a status that is none.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use base::prelude::*;
use groups::HostOrder;
use interface::{
    EngineClient, HttpEngineClient, HttpNodeClient, HttpObjectStore, NodeClient, OrderOutcome,
    ReportOutcome, StatusOutcome,
};
use net::SystemClock;
use net::web::WebClient;
use store::{ObjectKey, ObjectStore, ReadOutcome};

/// Timeout of a request, all of which get an answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Status lines that no final response has, without the protocol version.
const INVALID_STATUSES: [&str; 5] = [
    "000 Any",
    "101 Switching Protocols",
    "600 Any",
    "999 Any",
    "204 No Content\r\ncontent-length: 2",
];
const OBJECT: &str = r#"{"key":"a","version":3,"value":"{}"}"#;

/// Server that gives these responses in order, whichever connections requests come on.
fn spawn_server(responses: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let responses = Arc::new(Mutex::new(responses.into_iter()));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, responses) = (stream.unwrap(), responses.clone());
            thread::spawn(move || respond(stream, &responses));
        }
    });
    address
}

fn respond(mut stream: TcpStream, responses: &Mutex<std::vec::IntoIter<String>>) {
    let mut buffer = [0; 4_096];
    while let Ok(1..) = stream.read(&mut buffer) {
        let response = responses.lock().unwrap().next();
        let response = response.expect("a request too many");
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

fn response(status: &str, headers: &str, body: &str) -> String {
    let length = if status.contains("content-length") {
        String::new()
    } else {
        format!("content-length: {}\r\n", body.len())
    };
    format!("HTTP/1.1 {status}\r\n{headers}{length}\r\n{body}")
}

#[test]
fn a_response_of_the_platform_whose_status_is_none_names_no_era() {
    for status in INVALID_STATUSES {
        let server = spawn_server(vec![
            response(status, "store-era: 5\r\n", OBJECT),
            response("200 OK", "store-era: 1\r\n", OBJECT),
        ]);
        let outcomes = net::block_on(async move {
            let clock = Rc::new(SystemClock::default());
            let client = WebClient::new(clock.clone()).with_strict_order();
            let store = HttpObjectStore::new(client, clock, server);
            let key = ObjectKey::new("a");
            [store.read(&key).await, store.read(&key).await]
        });
        let [first, second] = outcomes.unwrap();
        assert_eq!(first, ReadOutcome::Unavailable, "'{status}'");
        let version = match second {
            ReadOutcome::Found(object) => Some(object.version),
            _ => None,
        };
        assert_eq!(version, Some(ObjectVersion::in_era(1, 3)), "'{status}'");
    }
}

#[test]
fn a_response_of_an_engine_whose_status_is_none_is_no_outcome() {
    for status in INVALID_STATUSES {
        let answer = || response(status, "", "");
        let server = spawn_server(vec![answer(), answer()]);
        let outcomes = net::block_on(async move {
            let clock = Rc::new(SystemClock::default());
            let client = HttpEngineClient::new(clock.clone());
            let order = HostOrder::Idle {
                incarnation: HostIncarnation(1),
                token: FencingToken(1),
            };
            let deadline = clock.now() + RESPONSE_TIMEOUT;
            let accepted = client.order(server, order, deadline).await;
            (accepted, client.report(server, deadline).await)
        });
        let expected = (OrderOutcome::Unknown, ReportOutcome::Silent);
        assert_eq!(outcomes.unwrap(), expected, "'{status}'");
    }
}

#[test]
fn a_status_page_whose_status_is_none_is_no_answer_of_a_daemon() {
    for status in INVALID_STATUSES {
        let server = spawn_server(vec![response(status, "", "{}")]);
        let outcome = net::block_on(async move {
            let clock = Rc::new(SystemClock::default());
            let client = HttpNodeClient::new(WebClient::new(clock.clone()).with_strict_order());
            client.status(server, clock.now() + RESPONSE_TIMEOUT).await
        });
        let is_silent = matches!(outcome, Ok(StatusOutcome::Silent));
        assert!(is_silent, "'{status}'");
    }
}
