//! Last check before a request is sent.

use futures_util::future::LocalBoxFuture;

/// Decides, once a connection is open, whether a request is still sent.
///
/// Opening a connection takes time, in which the reason to send the request may end.
pub trait SendGate {
    /// Whether the request may be sent now.
    fn may_send(&self) -> LocalBoxFuture<'_, bool>;
}
