//! Why a gateway cannot run.

use std::net::SocketAddr;

/// Fault that keeps a gateway from starting.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {source}; change it in the settings or free the port")]
    Bind {
        /// Address at fault.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The event loop cannot be set up.
    #[error("the event loop cannot be set up: {0}")]
    Runtime(#[from] std::io::Error),
}
