//! The client before a server that writes an answer too many.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use base::ClockSource;
use http::HeaderName;
use net::SystemClock;
use net::web::{CollectOutcome, WebClient, empty_body};

const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const TAG: HeaderName = HeaderName::from_static("x-id");
/// Path of the requests of these tests. Another process may still send others to a port that it
/// has released.
const PATH: &str = "/duplicate-answers";
/// Time after which a late copy is written.
const COPY_DELAY: Duration = Duration::from_millis(50);
/// Bytes of a write, and the pause after it, of a copy that arrives in several reads.
const PIECE_BYTES: usize = 16;
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// When a server writes its first answer on a connection once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyTime {
    /// Never.
    Never,
    /// In one write with the first answer.
    WithFirst,
    /// Some time after the first answer, before the next request.
    Late,
    /// In one write with the next answer, before it.
    WithNext,
    /// Before the next answer, both in small pieces.
    InPieces,
}

/// Server that refuses the first request that it gets with 503 and answers all others with 200.
struct RawServer {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl RawServer {
    /// Starts a server; one that `repeats_tags` writes the tag of a request in its answer.
    fn start(copy_time: CopyTime, repeats_tags: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (connections, requests) =
            (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let server = Self {
            address,
            connections: connections.clone(),
            requests: requests.clone(),
        };
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let counts = (connections.clone(), requests.clone());
                // A client that closes its connection ends the thread.
                thread::spawn(move || serve_connection(stream, copy_time, repeats_tags, &counts));
            }
        });
        server
    }
}

fn serve_connection(
    mut stream: TcpStream,
    copy_time: CopyTime,
    repeats_tags: bool,
    (connections, requests): &(Arc<AtomicUsize>, Arc<AtomicUsize>),
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut copy = None;
    while let Some(tag) = read_tag(&mut reader)? {
        if copy.is_none() {
            connections.fetch_add(1, Ordering::SeqCst);
        }
        let is_first = requests.fetch_add(1, Ordering::SeqCst) == 0;
        let status = if is_first { 503 } else { 200 };
        let tag_line = match tag.as_str() {
            "" => String::new(),
            tag if repeats_tags => format!("x-id: {tag}\r\n"),
            _ => String::new(),
        };
        let answer = format!("HTTP/1.1 {status} Any\r\n{tag_line}content-length: 2\r\n\r\nok");
        let earlier = copy.replace(answer.clone());
        match (copy_time, earlier) {
            (CopyTime::WithFirst, None) => {
                stream.write_all(format!("{answer}{answer}").as_bytes())?;
            }
            (CopyTime::Late, None) => {
                stream.write_all(answer.as_bytes())?;
                thread::sleep(COPY_DELAY);
                stream.write_all(answer.as_bytes())?;
            }
            (CopyTime::WithNext, Some(earlier)) => {
                stream.write_all(format!("{earlier}{answer}").as_bytes())?;
            }
            (CopyTime::InPieces, Some(earlier)) => {
                for piece in format!("{earlier}{answer}").as_bytes().chunks(PIECE_BYTES) {
                    stream.write_all(piece)?;
                    thread::sleep(PIECE_PAUSE);
                }
            }
            _ => stream.write_all(answer.as_bytes())?,
        }
    }
    Ok(())
}

/// Reads a request's head; returns its tag, empty if it has none, or `None` at the end or if the
/// request is none of these tests.
fn read_tag(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<String>> {
    let mut tag = String::new();
    let mut is_own = false;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(is_own.then_some(tag));
        }
        is_own |= line == format!("GET {PATH} HTTP/1.1");
        if let Some(value) = line.strip_prefix("x-id: ") {
            tag = value.to_owned();
        }
    }
}

fn tagged_client(clock: Rc<dyn ClockSource>) -> WebClient {
    WebClient::new(clock).with_tag(TAG)
}

fn strict_client(clock: Rc<dyn ClockSource>) -> WebClient {
    WebClient::new(clock).with_strict_order()
}

/// Sends requests with these tags, one after the other, with this pause between them; returns the
/// status of each, `None` if it was lost.
fn statuses(
    server: &RawServer,
    make_client: fn(Rc<dyn ClockSource>) -> WebClient,
    tags: &[&str],
    pause: Duration,
) -> Vec<Option<u16>> {
    let address = server.address;
    net::block_on(async {
        let clock = Rc::new(SystemClock::default());
        let client = make_client(clock.clone());
        let mut statuses = Vec::new();
        for tag in tags {
            let mut request = http::Request::get(PATH);
            if !tag.is_empty() {
                request = request.header(TAG, *tag);
            }
            let request = request.body(empty_body()).unwrap();
            let deadline = clock.now() + CALL_TIMEOUT;
            statuses.push(match client.collect(address, request, 64, deadline).await {
                CollectOutcome::Response(parts, _) => Some(parts.status.as_u16()),
                CollectOutcome::Lost | CollectOutcome::Discarded => None,
                outcome => panic!("{outcome:?}"),
            });
            // Connections return to the pool in a task, which runs during this sleep.
            monoio::time::sleep(pause).await;
        }
        statuses
    })
    .unwrap()
}

/// Checks the second of two requests, whose first one is refused.
///
/// It may be lost if its tag is another one, as it then shares the connection.
fn check_second(first: &str, second: &str) {
    let copy_times = [
        CopyTime::WithFirst,
        CopyTime::Late,
        CopyTime::WithNext,
        CopyTime::InPieces,
    ];
    let mut wrong = Vec::new();
    for copy_time in copy_times {
        for pause in [Duration::ZERO, COPY_DELAY * 2] {
            let server = RawServer::start(copy_time, true);
            let received = statuses(&server, tagged_client, &[first, second], pause);
            assert_eq!(received[0], Some(503), "{copy_time:?}");
            let may_be_lost = !second.is_empty() && second != first;
            if received[1] != Some(200) && !(may_be_lost && received[1].is_none()) {
                wrong.push((copy_time, pause, received[1]));
            }
            let requests = server.requests.load(Ordering::SeqCst);
            // The server may not have read a lost request yet, or never reads it.
            let expected = if received[1].is_none() { 1..=2 } else { 2..=2 };
            assert!(
                expected.contains(&requests),
                "{copy_time:?}, {received:?}: {requests} requests at the server"
            );
        }
    }
    assert!(wrong.is_empty(), "{} of 8: {wrong:?}", wrong.len());
}

#[test]
fn a_request_sent_again_is_not_answered_by_the_copy_of_its_refusal() {
    check_second("a", "a");
}

#[test]
fn a_request_is_not_answered_by_the_copy_of_another_ones_refusal() {
    check_second("a", "b");
}

#[test]
fn a_request_without_a_tag_is_not_answered_by_the_copy_of_a_refusal() {
    check_second("a", "");
}

#[test]
fn a_request_is_not_answered_by_the_copy_of_a_refusal_without_a_tag() {
    check_second("", "a");
    check_second("", "");
}

#[test]
fn only_requests_with_tags_of_their_own_share_a_connection() {
    let cases: [(&[&str], bool, usize); 5] = [
        (&["a", "b", "c", "d"], true, 1),
        (&["a", "a"], true, 2),
        (&["a", "b", "a", "b"], true, 2),
        (&["", "", ""], true, 3),
        (&["a", "b", "c"], false, 3),
    ];
    for (tags, repeats_tags, expected) in cases {
        let server = RawServer::start(CopyTime::Never, repeats_tags);
        statuses(&server, tagged_client, tags, Duration::ZERO);
        let connections = server.connections.load(Ordering::SeqCst);
        assert_eq!(connections, expected, "{tags:?}, repeated: {repeats_tags}");
    }
}

#[test]
fn requests_to_a_peer_in_strict_order_share_a_connection() {
    let server = RawServer::start(CopyTime::Never, false);
    let tags = ["a", "a", "", "b"];
    statuses(&server, strict_client, &tags, Duration::ZERO);
    assert_eq!(server.connections.load(Ordering::SeqCst), 1);
}
