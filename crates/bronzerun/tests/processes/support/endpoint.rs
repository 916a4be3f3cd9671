//! Server of the plain service whose responses can be delayed or carry another request id.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Endpoint whose responses the test controls.
pub struct FakeEndpoint {
    /// Listen address.
    pub address: String,
    state: Arc<Mutex<EndpointState>>,
}

#[derive(Default)]
struct EndpointState {
    delay: Duration,
    response_id: Option<&'static str>,
    response_headers: &'static str,
    status: Option<&'static str>,
    response_count: usize,
    headers: Vec<String>,
}

impl FakeEndpoint {
    /// Starts an endpoint that answers every call with its path.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let state = Arc::new(Mutex::new(EndpointState::default()));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || serve(stream, &state));
            }
        });
        Self { address, state }
    }

    /// Sets the delay of the responses from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().unwrap().delay = delay;
    }

    /// Sets the `x-request-id` of the responses from now on, in place of that of the request.
    pub fn set_response_id(&self, response_id: &'static str) {
        self.state.lock().unwrap().response_id = Some(response_id);
    }

    /// Sets header lines that the responses have from now on, each with its line end.
    pub fn set_response_headers(&self, headers: &'static str) {
        self.state.lock().unwrap().response_headers = headers;
    }

    /// Sets the status line that the responses have from now on, without the protocol version.
    pub fn set_status(&self, status: &'static str) {
        self.state.lock().unwrap().status = Some(status);
    }

    /// Header lines received so far.
    pub fn headers(&self) -> Vec<String> {
        self.state.lock().unwrap().headers.clone()
    }

    /// Number of responses so far, counted just before each is sent.
    pub fn response_count(&self) -> usize {
        self.state.lock().unwrap().response_count
    }
}

fn serve(stream: TcpStream, state: &Mutex<EndpointState>) {
    let mut writer = stream.try_clone().unwrap();
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    while let Some(request_line) = lines.next() {
        let headers: Vec<String> = lines.by_ref().take_while(|line| !line.is_empty()).collect();
        let request_id = headers
            .iter()
            .find_map(|line| line.strip_prefix("x-request-id: "));
        let (delay, response_id, response_headers, status) = {
            let mut state = state.lock().unwrap();
            state.headers.extend_from_slice(&headers);
            let status = state.status.unwrap_or("200 OK");
            (
                state.delay,
                state.response_id,
                state.response_headers,
                status,
            )
        };
        thread::sleep(delay);
        let response_id = response_id.unwrap_or(request_id.unwrap_or(""));
        let path = request_line.split(' ').nth(1).unwrap_or("");
        let response = format!(
            "HTTP/1.1 {status}\r\nx-request-id: {response_id}\r\n{response_headers}content-length: {}\r\n\r\n{path}",
            path.len()
        );
        state.lock().unwrap().response_count += 1;
        if writer.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}
