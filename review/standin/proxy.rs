//! Proxy in front of a node's port for other nodes. Its open connections can go silent for good,
//! without a reset, while new ones work.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Number of times that the open connections have gone silent.
#[derive(Clone, Default)]
pub struct Silences(Arc<AtomicU64>);

impl Silences {
    /// Makes all connections that are open now silent.
    pub fn begin(&self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }

    pub fn count(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }
}

/// Forwards connections to `target`; returns the address to connect to.
pub fn start(ip: &str, target: SocketAddr, silences: &Silences) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    let silences = silences.clone();
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let silences = silences.clone();
            std::thread::spawn(move || {
                let Ok(server) = TcpStream::connect(target) else {
                    return;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (Ok(from), Ok(to)) = (server.try_clone(), client.try_clone()) else {
                    return;
                };
                let born = silences.count();
                let other = silences.clone();
                std::thread::spawn(move || copy(from, to, &other, born));
                copy(client, server, &silences, born);
            });
        }
    });
    Ok(address)
}

fn copy(mut from: TcpStream, mut to: TcpStream, silences: &Silences, born: u64) {
    let mut buffer = [0; 16_384];
    loop {
        let read = from.read(&mut buffer);
        if silences.count() != born {
            // Neither side learns anything any more, and nothing is read.
            loop {
                std::thread::sleep(Duration::from_secs(3_600));
            }
        }
        match read {
            Ok(count) if count > 0 => {
                if to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            _ => break,
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
