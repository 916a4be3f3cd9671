//! Server of the plain service that refuses calls and writes its refusals once more.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use super::raw::read_request;

/// How a server refuses calls.
#[derive(Clone, Copy, Debug)]
pub struct RefusalSpec {
    /// Status of its refusals.
    pub status: u16,
    /// Whether its answers repeat the `x-request-id` of the request.
    pub is_named: bool,
}

/// Server that refuses the first call on each connection, and runs the later ones.
///
/// Before the answer to the second call it writes the refusal once more.
pub struct RefusingEndpoint {
    /// Listen address.
    pub address: String,
    runs: Arc<Mutex<Vec<String>>>,
}

impl RefusingEndpoint {
    /// Starts on a port that the kernel chooses.
    pub fn start(spec: RefusalSpec) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let runs = Arc::<Mutex<Vec<String>>>::default();
        let shared = runs.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runs = shared.clone();
                thread::spawn(move || serve(stream, spec, &runs));
            }
        });
        Self { address, runs }
    }

    /// Whether a call with this body was run.
    pub fn has_run(&self, body: &str) -> bool {
        self.runs.lock().unwrap().iter().any(|run| run == body)
    }
}

fn serve(mut stream: TcpStream, spec: RefusalSpec, runs: &Mutex<Vec<String>>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut refusal: Option<String> = None;
    while let Some(request) = read_request(&mut reader) {
        let (head, body) = request.split_once("\r\n\r\n").unwrap();
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("x-request-id: "));
        let id = id.filter(|_| spec.is_named);
        let written = match &refusal {
            None => {
                let answer = response(spec.status, id, "refused");
                let written = stream.write_all(answer.as_bytes());
                refusal = Some(answer);
                written
            }
            Some(copy) => {
                runs.lock().unwrap().push(body.to_owned());
                let answer = response(200, id, body);
                stream.write_all(format!("{copy}{answer}").as_bytes())
            }
        };
        if written.is_err() {
            return;
        }
    }
}

fn response(status: u16, id: Option<&str>, body: &str) -> String {
    let id = id.map_or_else(String::new, |id| format!("x-request-id: {id}\r\n"));
    let length = body.len();
    format!("HTTP/1.1 {status} Status\r\n{id}content-length: {length}\r\n\r\n{body}")
}
