//! Relay between two processes that can be silenced, cut and led elsewhere.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// Relay on a port of its own.
pub struct Relay {
    /// Where it listens.
    pub address: String,
    state: Arc<Mutex<RelayState>>,
}

struct RelayState {
    target: String,
    open: Vec<Link>,
    cut_inside: Option<&'static str>,
}

/// One connection through the relay.
struct Link {
    ends: [TcpStream; 2],
    silent: Arc<Mutex<bool>>,
}

impl Relay {
    /// Relay to an address.
    pub fn start(target: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let state = Arc::new(Mutex::new(RelayState {
            target: target.to_owned(),
            open: Vec::new(),
            cut_inside: None,
        }));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                link(&shared, stream);
            }
        });
        Self { address, state }
    }

    /// Leads connections to another address from now on.
    pub fn lead_to(&self, target: &str) {
        let mut state = self.state.lock().unwrap();
        state.target = target.to_owned();
        for link in state.open.drain(..) {
            for end in link.ends {
                // It may be closed already.
                let _ = end.shutdown(Shutdown::Both);
            }
        }
    }

    /// Makes every open connection silent for good; new ones work.
    pub fn silence_open(&self) {
        for link in &self.state.lock().unwrap().open {
            *link.silent.lock().unwrap() = true;
        }
    }

    /// Cuts one connection in the middle of this text when it next passes.
    pub fn cut_inside(&self, text: &'static str) {
        self.state.lock().unwrap().cut_inside = Some(text);
    }

    /// Whether the cut that was asked for has been made.
    pub fn has_cut(&self) -> bool {
        self.state.lock().unwrap().cut_inside.is_none()
    }
}

fn link(state: &Arc<Mutex<RelayState>>, near: TcpStream) {
    let target = state.lock().unwrap().target.clone();
    let Ok(far) = TcpStream::connect(target) else {
        return;
    };
    let silent = Arc::new(Mutex::new(false));
    copy(&near, &far, silent.clone(), state.clone());
    copy(&far, &near, silent.clone(), state.clone());
    let ends = [near, far];
    state.lock().unwrap().open.push(Link { ends, silent });
}

/// Copies one direction on a thread of its own until either end closes.
fn copy(from: &TcpStream, to: &TcpStream, silent: Arc<Mutex<bool>>, state: Arc<Mutex<RelayState>>) {
    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
    thread::spawn(move || {
        let mut buffer = [0; 16_384];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            if *silent.lock().unwrap() {
                continue;
            }
            let cut = take_cut(&state, &buffer[..count]);
            let written = to.write_all(&buffer[..cut.unwrap_or(count)]);
            if written.is_err() || cut.is_some() {
                break;
            }
        }
        if !*silent.lock().unwrap() {
            // Either end may have closed it already.
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
        }
    });
}

/// Bytes to pass on before the cut that is asked for, if it is due here.
fn take_cut(state: &Mutex<RelayState>, bytes: &[u8]) -> Option<usize> {
    let mut state = state.lock().unwrap();
    let text = state.cut_inside?;
    let at = String::from_utf8_lossy(bytes).find(text)?;
    state.cut_inside = None;
    Some(at + text.len() / 2)
}
