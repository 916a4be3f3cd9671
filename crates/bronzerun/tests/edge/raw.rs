//! Servers whose responses the test writes byte by byte.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// Request as a raw server reads it.
pub struct RawRequest {
    pub path: String,
    pub id: String,
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
        answer(&RawRequest { path, id }, &mut stream)?;
    }
}

pub fn raw_response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n{body}")
}
