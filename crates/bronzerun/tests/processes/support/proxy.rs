//! TCP proxy between two processes whose connections can be stalled, cut and redirected.

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
    copy(&client, &server, &is_stalled, &gate, state);
    copy(&server, &client, &is_stalled, &gate, state);
    state.lock().unwrap().connections.push(ProxiedConnection {
        ends: [client, server],
        is_stalled,
        gate,
    });
}

/// Copies one direction on a separate thread until either end closes.
fn copy(
    from: &TcpStream,
    to: &TcpStream,
    is_stalled: &Arc<Mutex<bool>>,
    gate: &Arc<Mutex<()>>,
    state: &Arc<Mutex<ProxyState>>,
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
