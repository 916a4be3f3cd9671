//! Relay between two processes that can be cut, silenced and led elsewhere.

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
        }));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.lock().unwrap().link(stream);
            }
        });
        Self { address, state }
    }

    /// Leads connections to another address from now on.
    pub fn lead_to(&self, target: &str) {
        let mut state = self.state.lock().unwrap();
        state.target = target.to_owned();
        state.cut();
    }

    /// Makes every open connection silent for good; new ones work.
    pub fn silence_open(&self) {
        for link in &self.state.lock().unwrap().open {
            *link.silent.lock().unwrap() = true;
        }
    }
}

impl RelayState {
    fn link(&mut self, near: TcpStream) {
        let Ok(far) = TcpStream::connect(&self.target) else {
            return;
        };
        let silent = Arc::new(Mutex::new(false));
        copy(&near, &far, silent.clone());
        copy(&far, &near, silent.clone());
        self.open.push(Link {
            ends: [near, far],
            silent,
        });
    }

    fn cut(&mut self) {
        for link in self.open.drain(..) {
            for end in link.ends {
                // It may be closed already.
                let _ = end.shutdown(Shutdown::Both);
            }
        }
    }
}

/// Copies one direction on a thread of its own until either end closes.
fn copy(from: &TcpStream, to: &TcpStream, silent: Arc<Mutex<bool>>) {
    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
    thread::spawn(move || {
        let mut buffer = [0; 16_384];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            if !*silent.lock().unwrap() && to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        if !*silent.lock().unwrap() {
            // The other direction may have closed it already.
            let _ = to.shutdown(Shutdown::Write);
        }
    });
}
