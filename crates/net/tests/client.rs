//! After a timeout the client opens a new connection.
//!
//! Guards against a failure in which all pooled connections to a server stop
//! responding at once, and each request times out on the next of them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use base::ClockSource;
use futures_util::future::join;
use net::SystemClock;
use net::web::{CollectOutcome, WebClient, empty_body};

/// Timeout of a request that gets a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a request that gets none.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(100);
/// Connections that respond once and then no more.
const SILENT_CONNECTIONS: usize = 2;

/// Starts a server that responds once on each of its first connections and always on later ones.
fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (index, stream) in listener.incoming().enumerate() {
            let responses = if index < SILENT_CONNECTIONS { 1 } else { 100 };
            let stream = stream.unwrap();
            thread::spawn(move || respond(stream, responses));
        }
    });
    address
}

fn respond(mut stream: TcpStream, responses: usize) {
    let mut buffer = [0; 4_096];
    let mut received = 0;
    while matches!(stream.read(&mut buffer), Ok(read) if read > 0) {
        if received < responses {
            let text = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            stream.write_all(text).unwrap();
        }
        received += 1;
    }
}

async fn call(
    client: &WebClient,
    clock: &SystemClock,
    server: SocketAddr,
    timeout: Duration,
) -> bool {
    let request = http::Request::get("/").body(empty_body()).unwrap();
    let deadline = clock.now() + timeout;
    let outcome = client.collect(server, request, 64, deadline).await;
    matches!(outcome, CollectOutcome::Response(..))
}

#[test]
fn a_timeout_drops_all_idle_connections_to_the_server() {
    let server = start_server();
    let outcomes = net::block_on(async move {
        let clock = Rc::new(SystemClock::default());
        let client = WebClient::new(clock.clone()).with_strict_order();
        let first = join(
            call(&client, &clock, server, RESPONSE_TIMEOUT),
            call(&client, &clock, server, RESPONSE_TIMEOUT),
        )
        .await;
        // Connections return to the pool in a task, which runs during this sleep.
        monoio::time::sleep(Duration::ZERO).await;
        let silent = call(&client, &clock, server, SILENCE_TIMEOUT).await;
        let fresh = call(&client, &clock, server, RESPONSE_TIMEOUT).await;
        (first, silent, fresh)
    });
    assert_eq!(outcomes.unwrap(), ((true, true), false, true));
}
