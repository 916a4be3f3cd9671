//! Memory that received bytes hold. The only test of its process, as the total is the process's.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use base::ClockSource;
use net::web::{CollectOutcome, WebClient, empty_body};
use net::{HeldBytes, SystemClock};

const TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn a_body_in_small_chunks_takes_no_more_memory_than_its_bytes() {
    // Guards against a node that keeps a handle and a part of the read buffer for each byte.
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let body = "1\r\na\r\n".repeat(100_000) + "0\r\n\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request);
        let _ = stream.write_all(format!("{head}{body}").as_bytes());
        // Keeps the connection until the client is done.
        let _ = stream.read(&mut request);
    });
    let outcome = net::block_on(async move {
        let clock = Rc::new(SystemClock::default());
        let client = WebClient::new(clock.clone());
        let request = http::Request::get("/").body(empty_body()).unwrap();
        let deadline = clock.now() + TIMEOUT;
        client
            .collect(server, request, 1_024 * 1_024, deadline)
            .await
    })
    .unwrap();
    let CollectOutcome::Response(_, bytes) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(bytes.len(), 100_000);
    let held = HeldBytes::total();
    assert!((100_000..=300_000).contains(&held), "{held} bytes held");
    drop(bytes);
    assert!(HeldBytes::total() < held);
}
