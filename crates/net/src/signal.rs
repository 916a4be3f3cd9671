//! Unix signals, received as bytes on a socket pair without a thread.

use std::io;
use std::os::unix::net::UnixStream as StdStream;

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// Receiver of a set of Unix signals.
#[derive(Debug)]
pub struct SignalWatch(UnixStream);

/// Registers a receiver of SIGHUP.
pub fn watch_reload() -> io::Result<SignalWatch> {
    watch(&[SIGHUP])
}

/// Registers a receiver of SIGTERM and SIGINT.
pub fn watch_shutdown() -> io::Result<SignalWatch> {
    watch(&[SIGTERM, SIGINT])
}

fn watch(signals: &[i32]) -> io::Result<SignalWatch> {
    let (receiver, sender) = StdStream::pair()?;
    for &signal in signals {
        pipe::register(signal, sender.try_clone()?)?;
    }
    receiver.set_nonblocking(true)?;
    Ok(SignalWatch(UnixStream::from_std(receiver)?))
}

impl SignalWatch {
    /// Waits for the next signal.
    pub async fn wait(&mut self) {
        // The write end stays open until the process exits, so the read only
        // completes with the byte of a signal.
        let (_, _) = self.0.read(vec![0_u8; 1]).await;
    }
}
