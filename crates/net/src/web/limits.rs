//! Limits on the resources that clients of a server can use.

use std::time::Duration;

/// Bytes that a connection may receive while no message, nor any part of a body, reaches its
/// reader: several times the largest head.
pub(super) const MAX_PENDING_BYTES: usize = 256 * 1_024;

/// Limits of one HTTP server.
#[derive(Clone, Copy, Debug)]
pub struct WebLimits {
    /// Maximum number of open connections; further ones are closed at once.
    pub connections: usize,
    /// Maximum size of the request line and headers in bytes.
    pub header_bytes: usize,
    /// Maximum number of headers in a request.
    pub headers: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving the headers of a request.
    pub header_timeout: Duration,
    /// Time limit for receiving the body of a request.
    pub body_timeout: Duration,
}

impl Default for WebLimits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_bytes: 16 * 1_024,
            headers: 64,
            body_bytes: 4 * 1_024 * 1_024,
            header_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(30),
        }
    }
}
