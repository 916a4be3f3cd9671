//! Bounds on what one peer can make a server hold.

use std::time::Duration;

/// Limits of one HTTP server.
#[derive(Clone, Copy, Debug)]
pub struct WebLimits {
    /// Connections open at once.
    pub connections: usize,
    /// Bytes of a request's line and headers.
    pub header_bytes: usize,
    /// Headers of one request.
    pub headers: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time in which a client must send its headers.
    pub header_timeout: Duration,
    /// Time in which a client must send its body.
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
