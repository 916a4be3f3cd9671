//! Bytes as they are: a caller without a library, and a server that keeps
//! what it was sent.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Longest wait for bytes; far above what any answer needs.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Answer with headers of one connection, named and not.
const ANSWER: &[u8] = b"HTTP/1.1 201 Created\r\ncontent-length: 2\r\nx-kept: yes\r\n\
    connection: keep-alive\r\nconnection: x-hop\r\nx-hop: one\r\nkeep-alive: timeout=5\r\n\
    proxy-authenticate: Basic\r\n\r\nok";

/// Sends bytes on a connection of its own and reads until it is closed.
pub fn exchange(address: &str, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    // A server that refuses may close before it has read everything.
    let _ = stream.write_all(request);
    let mut answer = Vec::new();
    if let Err(fault) = stream.read_to_end(&mut answer) {
        let reset = fault.kind() == std::io::ErrorKind::ConnectionReset;
        assert!(reset, "{fault} after {}", String::from_utf8_lossy(&answer));
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Server that keeps each request's line, headers and body.
pub struct Recorder {
    /// Where it listens.
    pub address: String,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Recorder {
    /// Starts on a port of its own.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let requests = Arc::<Mutex<Vec<String>>>::default();
        let kept = requests.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let kept = kept.clone();
                thread::spawn(move || serve(stream, &kept));
            }
        });
        Self { address, requests }
    }

    /// Requests so far.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

/// Answers every request but those whose path ends in `/silent`.
fn serve(mut stream: TcpStream, kept: &Mutex<Vec<String>>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = read_request(&mut reader) {
        let silent = request.contains("/silent ");
        kept.lock().unwrap().push(request);
        if !silent && stream.write_all(ANSWER).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<String> {
    let mut request = String::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        request.push_str(&line);
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    request.push_str(&String::from_utf8_lossy(&body));
    Some(request)
}
