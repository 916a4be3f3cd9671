//! A client whose connections all went silent gets through on a new one.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use base::ClockSource;
use futures_util::future::join;
use net::SystemClock;
use net::web::{CollectOutcome, WebClient, empty_body};

/// Time given to a call that is answered.
const ANSWER_SPAN: Duration = Duration::from_secs(30);
/// Time given to a call that is not.
const SILENCE_SPAN: Duration = Duration::from_millis(100);
/// Connections that answer once and then go silent.
const SILENT_CONNECTIONS: usize = 2;

/// Starts a server whose first connections answer once each, and later ones always.
fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (index, stream) in listener.incoming().enumerate() {
            let answers = if index < SILENT_CONNECTIONS { 1 } else { 100 };
            let stream = stream.unwrap();
            thread::spawn(move || answer(stream, answers));
        }
    });
    address
}

fn answer(mut stream: TcpStream, answers: usize) {
    let mut buffer = [0; 4_096];
    let mut answered = 0;
    while matches!(stream.read(&mut buffer), Ok(read) if read > 0) {
        if answered < answers {
            let text = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            stream.write_all(text).unwrap();
        }
        answered += 1;
    }
}

async fn call(client: &WebClient, clock: &SystemClock, server: SocketAddr, span: Duration) -> bool {
    let request = http::Request::get("/").body(empty_body()).unwrap();
    let deadline = clock.now() + span;
    let outcome = client.collect(server, request, 64, deadline).await;
    matches!(outcome, CollectOutcome::Response(..))
}

#[test]
fn a_silent_connection_takes_the_idle_ones_with_it() {
    let server = start_server();
    let outcomes = net::block_on(async move {
        let clock = Rc::new(SystemClock::default());
        let client = WebClient::new(clock.clone());
        let first = join(
            call(&client, &clock, server, ANSWER_SPAN),
            call(&client, &clock, server, ANSWER_SPAN),
        )
        .await;
        // Connections are kept once a task has seen that they are ready.
        monoio::time::sleep(Duration::ZERO).await;
        let silent = call(&client, &clock, server, SILENCE_SPAN).await;
        let fresh = call(&client, &clock, server, ANSWER_SPAN).await;
        (first, silent, fresh)
    });
    assert_eq!(outcomes.unwrap(), ((true, true), false, true));
}
