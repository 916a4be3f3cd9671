//! Start-up steps that all daemons share.

use std::io;
use std::net::SocketAddr;

use futures_channel::mpsc::UnboundedSender;
use monoio::net::TcpListener;

use crate::signal::watch_shutdown;
use crate::web::bind;

/// Error that prevents a daemon from starting.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A listening address cannot be bound.
    #[error(
        "cannot listen on {address}: {source}; change the address in the settings or free the port"
    )]
    Bind {
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The runtime or its signal handlers cannot be set up.
    #[error("the event loop cannot be set up: {0}")]
    Runtime(#[from] io::Error),
}

/// Binds a listener and returns the bound address; the kernel chooses the port if it is zero.
pub fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), DaemonError> {
    let bind_error = |source| DaemonError::Bind { address, source };
    let listener = bind(address).map_err(bind_error)?;
    let bound = listener.local_addr().map_err(bind_error)?;
    Ok((listener, bound))
}

/// Sends an event to the loop for each SIGTERM and SIGINT.
pub fn forward_shutdown_signals<Event: 'static>(
    events: UnboundedSender<Event>,
    make_event: fn() -> Event,
) -> Result<(), DaemonError> {
    let mut signal = watch_shutdown()?;
    monoio::spawn(async move {
        loop {
            signal.wait().await;
            if events.unbounded_send(make_event()).is_err() {
                return;
            }
        }
    });
    Ok(())
}
