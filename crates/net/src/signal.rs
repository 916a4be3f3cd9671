//! Signals as bytes on a socket pair, without a thread.

use std::io;
use std::os::unix::net::UnixStream as StdStream;

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// Receiver of some signals.
#[derive(Debug)]
pub struct SignalWatch(UnixStream);

/// Starts to watch for SIGHUP.
pub fn watch_reload() -> io::Result<SignalWatch> {
    watch(&[SIGHUP])
}

/// Starts to watch for SIGTERM and SIGINT.
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
        // The sender lives as long as the process, so only a byte ends the read.
        let (_, _) = self.0.read(vec![0_u8; 1]).await;
    }
}
