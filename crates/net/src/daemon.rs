//! What every daemon does when it starts.

use std::io;
use std::net::SocketAddr;

use futures_channel::mpsc::UnboundedSender;
use monoio::net::TcpListener;

use crate::signal::watch_shutdown;
use crate::web::bind;

/// Fault that keeps a daemon from starting.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {source}; change it in the settings or free the port")]
    Bind {
        /// Address at fault.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The event loop cannot be set up.
    #[error("the event loop cannot be set up: {0}")]
    Runtime(#[from] io::Error),
}

/// Listens on an address; returns the one bound, whose port the kernel may have chosen.
pub fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), DaemonError> {
    let fault = |source| DaemonError::Bind { address, source };
    let listener = bind(address).map_err(fault)?;
    let bound = listener.local_addr().map_err(fault)?;
    Ok((listener, bound))
}

/// Turns each SIGTERM and SIGINT into an event of the loop.
pub fn forward_shutdown_signals<Event: 'static>(
    events: UnboundedSender<Event>,
    stop: fn() -> Event,
) -> Result<(), DaemonError> {
    let mut signal = watch_shutdown()?;
    monoio::spawn(async move {
        loop {
            signal.wait().await;
            if events.unbounded_send(stop()).is_err() {
                return;
            }
        }
    });
    Ok(())
}
