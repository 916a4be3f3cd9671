//! Raw HTTP/1.1 bytes: requests written without a client library, and a server that
//! records the requests that it receives.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Longest wait for bytes; far longer than any response takes.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Response with hop-by-hop headers, some of them listed in `connection`.
const RESPONSE: &[u8] = b"HTTP/1.1 201 Created\r\ncontent-length: 2\r\nx-kept: yes\r\n\
    connection: keep-alive\r\nconnection: x-hop\r\nx-hop: one\r\nkeep-alive: timeout=5\r\n\
    proxy-authenticate: Basic\r\n\r\nok";

/// Sends bytes on a new connection and reads until it is closed.
pub fn exchange(address: &str, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    // A server that refuses the request may close before it has read everything.
    let _ = stream.write_all(request);
    let mut response = Vec::new();
    if let Err(error) = stream.read_to_end(&mut response) {
        let reset = error.kind() == std::io::ErrorKind::ConnectionReset;
        assert!(
            reset,
            "{error} after {}",
            String::from_utf8_lossy(&response)
        );
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// Server that records the request line, headers and body of each request.
pub struct Recorder {
    /// Listen address.
    pub address: String,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Recorder {
    /// Starts on a port that the kernel chooses.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let requests = Arc::<Mutex<Vec<String>>>::default();
        let recorded = requests.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let recorded = recorded.clone();
                thread::spawn(move || serve(stream, &recorded));
            }
        });
        Self { address, requests }
    }

    /// Requests received so far.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

/// Responds to every request but those whose path ends in `/silent`.
fn serve(mut stream: TcpStream, recorded: &Mutex<Vec<String>>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = read_request(&mut reader) {
        let is_silent = request.contains("/silent ");
        recorded.lock().unwrap().push(request);
        if !is_silent && stream.write_all(RESPONSE).is_err() {
            return;
        }
    }
}

/// Reads a request with its body; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> Option<String> {
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
