//! TCP proxy between two processes whose connections can be stalled, cut and redirected, and that
//! can write engines' reports once more.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// TCP proxy on a port that the kernel chooses.
pub struct TcpProxy {
    /// Listen address.
    pub address: String,
    state: Arc<Mutex<ProxyState>>,
}

struct ProxyState {
    target: String,
    connections: Vec<ProxiedConnection>,
    cut_inside: Option<&'static str>,
    repeats_reports: bool,
}

/// One connection through the proxy.
struct ProxiedConnection {
    ends: [TcpStream; 2],
    is_stalled: Arc<Mutex<bool>>,
    /// Locked while the connection is paused.
    gate: Arc<Mutex<()>>,
}

impl TcpProxy {
    /// Starts a proxy to an address.
    pub fn start(target: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let state = Arc::new(Mutex::new(ProxyState {
            target: target.to_owned(),
            connections: Vec::new(),
            cut_inside: None,
            repeats_reports: false,
        }));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connect(&shared, stream);
            }
        });
        Self { address, state }
    }

    /// Closes the open connections and forwards new ones to another address.
    pub fn redirect_to(&self, target: &str) {
        let mut state = self.state.lock().unwrap();
        state.target = target.to_owned();
        for connection in state.connections.drain(..) {
            for end in connection.ends {
                // The connection may be closed already.
                let _ = end.shutdown(Shutdown::Both);
            }
        }
    }

    /// Stalls every open connection for good: its bytes are dropped while it stays open. New
    /// connections work.
    pub fn stall_open_connections(&self) {
        for connection in &self.state.lock().unwrap().connections {
            *connection.is_stalled.lock().unwrap() = true;
        }
    }

    /// Pauses every open connection while the closure runs: its bytes arrive afterwards. New
    /// connections work.
    pub fn pause_open_connections(&self, while_paused: impl FnOnce()) {
        let gates: Vec<Arc<Mutex<()>>> = {
            let state = self.state.lock().unwrap();
            let connections = state.connections.iter();
            connections
                .map(|connection| connection.gate.clone())
                .collect()
        };
        let _paused: Vec<_> = gates.iter().map(|gate| gate.lock().unwrap()).collect();
        while_paused();
    }

    /// Closes one connection in the middle of this text, the next time that it is forwarded.
    pub fn cut_inside(&self, text: &'static str) {
        self.state.lock().unwrap().cut_inside = Some(text);
    }

    /// Writes an engine's report once more, from now on, where the answer to the first call after
    /// it on the same connection is due.
    pub fn repeat_reports(&self) {
        self.state.lock().unwrap().repeats_reports = true;
    }

    /// Whether no requested cut is outstanding.
    pub fn has_cut(&self) -> bool {
        self.state.lock().unwrap().cut_inside.is_none()
    }
}

fn connect(state: &Arc<Mutex<ProxyState>>, client: TcpStream) {
    let target = state.lock().unwrap().target.clone();
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let is_stalled = Arc::new(Mutex::new(false));
    let gate = Arc::new(Mutex::new(()));
    let report = Arc::new(Mutex::new(LatestReport::default()));
    copy(&client, &server, &is_stalled, &gate, state, {
        let (report, state) = (report.clone(), state.clone());
        let mut client = client.try_clone().unwrap();
        move |request| {
            let copy = report.lock().unwrap().take_copy(request);
            if state.lock().unwrap().repeats_reports {
                // The client may have closed the connection.
                let _ = client.write_all(&copy);
            }
        }
    });
    copy(&server, &client, &is_stalled, &gate, state, move |answer| {
        report.lock().unwrap().record(answer);
    });
    state.lock().unwrap().connections.push(ProxiedConnection {
        ends: [client, server],
        is_stalled,
        gate,
    });
}

/// Report that was the latest answer on a connection.
#[derive(Default)]
struct LatestReport {
    is_requested: bool,
    bytes: Vec<u8>,
}

impl LatestReport {
    /// Records a request; returns the report if it is the first call after it.
    fn take_copy(&mut self, request: &[u8]) -> Vec<u8> {
        let copy = std::mem::take(&mut self.bytes);
        self.is_requested = request.starts_with(b"GET /status ");
        if request.starts_with(b"POST /v1/") {
            copy
        } else {
            Vec::new()
        }
    }

    fn record(&mut self, answer: &[u8]) {
        if self.is_requested {
            self.bytes.extend_from_slice(answer);
        }
    }
}

/// Copies one direction on a separate thread until either end closes; `inspect` gets the bytes
/// before they are forwarded.
fn copy(
    from: &TcpStream,
    to: &TcpStream,
    is_stalled: &Arc<Mutex<bool>>,
    gate: &Arc<Mutex<()>>,
    state: &Arc<Mutex<ProxyState>>,
    mut inspect: impl FnMut(&[u8]) + Send + 'static,
) {
    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
    let (is_stalled, gate, state) = (is_stalled.clone(), gate.clone(), state.clone());
    thread::spawn(move || {
        let mut buffer = [0; 16_384];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            if *is_stalled.lock().unwrap() {
                continue;
            }
            let _open = gate.lock().unwrap();
            inspect(&buffer[..count]);
            let cut = take_cut(&state, &buffer[..count]);
            let written = to.write_all(&buffer[..cut.unwrap_or(count)]);
            if written.is_err() || cut.is_some() {
                break;
            }
        }
        if !*is_stalled.lock().unwrap() {
            // Either end may have closed the connection already.
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
        }
    });
}

/// Number of bytes to forward before the requested cut, if its text is in these bytes.
fn take_cut(state: &Mutex<ProxyState>, bytes: &[u8]) -> Option<usize> {
    let mut state = state.lock().unwrap();
    let text = state.cut_inside?;
    let at = String::from_utf8_lossy(bytes).find(text)?;
    state.cut_inside = None;
    Some(at + text.len() / 2)
}
