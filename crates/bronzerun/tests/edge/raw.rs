//! Servers whose responses the test writes byte by byte.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

use crate::CONDITION_TIMEOUT;

/// Prefixes of the routes that nodes have.
const ROUTE_PREFIXES: [&str; 5] = ["/o/", "/s/", "/r/", "/l/", "/i/"];

/// Request as a raw server reads it.
pub struct RawRequest {
    pub path: String,
    pub id: String,
    /// Number of the last event that the client of a stream has got.
    pub last_event: Option<u64>,
}

/// Serves connections with the bytes that `answer` writes for each request, on threads that end
/// with the test process; returns the address.
pub fn spawn_raw_server<F>(answer: F) -> SocketAddr
where
    F: Fn(&RawRequest, &mut TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let answer = answer.clone();
            std::thread::spawn(move || serve_raw(stream, answer.as_ref()));
        }
    });
    address
}

/// Serves one connection until either side closes it.
fn serve_raw<F>(mut stream: TcpStream, answer: &F) -> std::io::Result<()>
where
    F: Fn(&RawRequest, &mut TcpStream) -> std::io::Result<()>,
{
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    loop {
        let mut head = Vec::new();
        loop {
            match lines.next().transpose()? {
                Some(line) if line.is_empty() => break,
                Some(line) => head.push(line.to_lowercase()),
                None => return Ok(()),
            }
        }
        let path = head[0].split(' ').nth(1).unwrap_or_default().to_owned();
        let mut ids = head
            .iter()
            .filter_map(|line| line.strip_prefix("x-bronzerun-request-id: "));
        let id = ids.next_back().unwrap_or_default().to_owned();
        let mut last_events = head
            .iter()
            .filter_map(|line| line.strip_prefix("last-event-id: "));
        let last_event = last_events.next_back().and_then(|id| id.parse().ok());
        let request = RawRequest {
            path,
            id,
            last_event,
        };
        if !is_routed(&request.path) {
            stream.write_all(raw_response("404 Not Found", "", "").as_bytes())?;
            continue;
        }
        answer(&request, &mut stream)?;
    }
}

/// Whether a request is one of a client. Reports are not, and neither is what another process
/// sends to a port that it has released.
fn is_routed(path: &str) -> bool {
    ROUTE_PREFIXES.iter().any(|prefix| path.starts_with(prefix))
}

pub fn raw_response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n{body}")
}

/// Reads a response to its end; returns the body, without chunk sizes, and whether it is whole.
pub fn read_stream(ingress: SocketAddr, path: &str, deadline_ms: u32) -> (String, bool) {
    let mut stream = TcpStream::connect(ingress).unwrap();
    stream.set_read_timeout(Some(CONDITION_TIMEOUT)).unwrap();
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\napi-key: key-1\r\nx-bronzerun-request-id: r-1\r\nx-bronzerun-deadline-ms: {deadline_ms}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut bytes = Vec::new();
    // A reset ends the response too.
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (_, mut rest) = text.split_once("\r\n\r\n").unwrap_or_default();
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            break;
        };
        if size == 0 {
            return (body, true);
        }
        body.push_str(&after[..size.min(after.len())]);
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}
