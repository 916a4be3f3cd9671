//! Bytes without end hold neither the event loop nor memory.
//!
//! Guards against a failure in which one connection that always had bytes to parse kept the loop
//! from every other task and from all its timers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use base::ClockSource;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, join_all};
use net::web::{
    CollectOutcome, RequestBody, WebClient, WebLimits, WebResponse, WebService, empty_body,
    receive_body, serve, text_response,
};
use net::{FrameStream, SystemClock, with_deadline};

/// Deadline of a request that must be given up for another reason.
const GENEROUS_TIMEOUT: Duration = Duration::from_secs(60);
/// Deadline of a request that is given up because of it.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Bytes after which a sender stops by itself; far more than the buffers of a connection hold.
const MAX_SENT_BYTES: usize = 64 * 1_024 * 1_024;
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Writes a start and then a pattern until the peer closes; returns whether it did so.
fn flood(mut stream: TcpStream, start: &str, pattern: &str) -> bool {
    let pattern = pattern.repeat(64 * 1_024 / pattern.len());
    let mut sent = 0;
    let mut result = stream.write_all(start.as_bytes());
    while result.is_ok() && sent < MAX_SENT_BYTES {
        result = stream.write_all(pattern.as_bytes());
        sent += pattern.len();
    }
    result.is_err()
}

/// Server that answers each request with such a flood; reports whether its client closed.
fn start_flooding_server(
    start: &'static str,
    pattern: &'static str,
) -> (SocketAddr, Receiver<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, closed) = channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, sender) = (stream.unwrap(), sender.clone());
            thread::spawn(move || {
                let mut request = [0; 4_096];
                if matches!(stream.read(&mut request), Ok(read) if read > 0) {
                    let _ = sender.send(flood(stream, start, pattern));
                }
            });
        }
    });
    (address, closed)
}

async fn collect(server: SocketAddr, limit: usize, timeout: Duration) -> CollectOutcome {
    let clock = Rc::new(SystemClock::default());
    let client = WebClient::new(clock.clone());
    let request = http::Request::get("/").body(empty_body()).unwrap();
    client
        .collect(server, request, limit, clock.now() + timeout)
        .await
}

/// Waits until a flood has ended; returns whether its peer closed the connection.
async fn wait_for_end(closed: &Receiver<bool>) -> bool {
    loop {
        if let Ok(is_closed) = closed.try_recv() {
            return is_closed;
        }
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[test]
fn a_server_that_sends_bytes_that_are_no_answer_is_given_up_at_once() {
    let floods = [
        ("chunk size", CHUNKED_HEAD, "0"),
        ("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        (
            "early hints",
            "",
            "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
        ),
        ("blank lines before a head", "", "\r\n"),
        ("status line", "HTTP/1.1 200 ", "O"),
        ("header value", "HTTP/1.1 200 OK\r\na: ", "b"),
        ("headers", "HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        (
            "chunk extension",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
            "a",
        ),
        (
            "trailer",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\na: ",
            "b",
        ),
        (
            "trailers",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            "a: b\r\n",
        ),
        ("chunked body", CHUNKED_HEAD, "1\r\na\r\n"),
        (
            "body to the end of the connection",
            "HTTP/1.1 200 OK\r\n\r\n",
            "a",
        ),
        (
            "body of announced length",
            "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
            "a",
        ),
    ];
    for (name, start, pattern) in floods {
        let (server, closed) = start_flooding_server(start, pattern);
        let (outcome, is_closed) = net::block_on(async move {
            let outcome = collect(server, 1_024, GENEROUS_TIMEOUT).await;
            (outcome, wait_for_end(&closed).await)
        })
        .unwrap();
        assert!(
            matches!(outcome, CollectOutcome::Lost),
            "{name}: {outcome:?}"
        );
        assert!(is_closed, "{name}: read to its end");
    }
}

#[test]
fn deadlines_pass_while_servers_send_answers_without_end() {
    let is_closed = net::block_on(async {
        let servers: Vec<_> = (0..8)
            .map(|_| start_flooding_server(CHUNKED_HEAD, "1\r\na\r\n"))
            .collect();
        let calls = servers
            .iter()
            .map(|(server, _)| collect(*server, usize::MAX, SHORT_TIMEOUT));
        let outcomes = join_all(calls).await;
        let is_lost = |outcome: &CollectOutcome| matches!(outcome, CollectOutcome::Lost);
        assert!(outcomes.iter().all(is_lost));
        join_all(servers.iter().map(|(_, closed)| wait_for_end(closed))).await
    });
    assert_eq!(is_closed.unwrap(), [true; 8]);
}

/// Service that reads the body of each request.
struct BodyService;

impl WebService for BodyService {
    fn answer(&self, request: http::Request<RequestBody>) -> LocalBoxFuture<'static, WebResponse> {
        async move {
            let limits = WebLimits {
                body_bytes: 64 * 1_024,
                ..WebLimits::default()
            };
            let outcome = receive_body(request.into_body(), &limits).await;
            text_response(http::StatusCode::OK, &format!("{outcome:?}"))
        }
        .boxed_local()
    }
}

#[test]
fn a_client_that_sends_a_body_without_end_is_disconnected() {
    let head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let floods = [
        ("chunk size", head, "0"),
        ("chunks", head, "1\r\na\r\n"),
        ("blank lines", "", "\r\n"),
        ("header value", "GET / HTTP/1.1\r\na: ", "b"),
    ];
    for (name, start, pattern) in floods {
        let is_closed = net::block_on(async move {
            let (listener, address) = net::listen(([127, 0, 0, 1], 0).into()).unwrap();
            let (_signal, watch) = net::drain_channel();
            monoio::spawn(serve(
                listener,
                Rc::new(BodyService),
                WebLimits::default(),
                watch,
            ));
            let (sender, closed) = channel();
            thread::spawn(move || {
                let stream = TcpStream::connect(address).unwrap();
                let _ = sender.send(flood(stream, start, pattern));
            });
            wait_for_end(&closed).await
        });
        assert!(is_closed.unwrap(), "{name}: read to its end");
    }
}

#[test]
fn deadlines_pass_while_a_node_sends_frames_without_end() {
    let received = net::block_on(async {
        let (listener, address) = net::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let (sender, closed) = channel();
        thread::spawn(move || {
            let stream = TcpStream::connect(address).unwrap();
            let _ = sender.send(flood(stream, "", "\0\0\0\x01a"));
        });
        let (stream, _) = listener.accept().await.unwrap();
        let clock = SystemClock::default();
        let mut frames = FrameStream::new(stream).unwrap();
        let receive = async { while let Ok(Some(_)) = frames.receive().await {} };
        let ended = with_deadline(&clock, clock.now() + SHORT_TIMEOUT, receive).await;
        drop(frames);
        (ended, wait_for_end(&closed).await)
    });
    assert_eq!(received.unwrap(), (None, true));
}
