//! Termination signals as bytes on a socket pair, without a thread.

use std::io;
use std::os::unix::net::UnixStream as StdStream;

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// Receiver of SIGTERM and SIGINT.
#[derive(Debug)]
pub struct StopSignal(UnixStream);

/// Starts to watch for SIGTERM and SIGINT.
pub fn watch_stop() -> io::Result<StopSignal> {
    let (receiver, sender) = StdStream::pair()?;
    for signal in [SIGTERM, SIGINT] {
        pipe::register(signal, sender.try_clone()?)?;
    }
    receiver.set_nonblocking(true)?;
    Ok(StopSignal(UnixStream::from_std(receiver)?))
}

impl StopSignal {
    /// Waits for the next signal.
    pub async fn wait(&mut self) {
        // The sender lives as long as the process, so only a byte ends the read.
        let (_, _) = self.0.read(vec![0_u8; 1]).await;
    }
}
