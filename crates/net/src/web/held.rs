//! Requests that are held until a server gets them or they are given up.

use bytes::Bytes;
use exchange::{HeldRequest, NotRunProof, RequestMessage};
use http::Request;
use http::request::Parts;

use super::server::ReceiveError;

/// Request that no connection to a server has taken.
pub(super) struct UnsentRequest<B>(pub Request<B>);

impl<B> RequestMessage for UnsentRequest<B> {}

/// Request of a client that was read to its end.
#[derive(Debug)]
pub struct WholeRequest {
    pub(super) parts: Parts,
    pub(super) body: Bytes,
}

impl RequestMessage for WholeRequest {}

impl WholeRequest {
    /// Method, path and headers.
    pub fn parts(&self) -> &Parts {
        &self.parts
    }

    /// Body.
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    /// Splits the request into its parts and its body.
    pub fn split(self) -> (Parts, Bytes) {
        (self.parts, self.body)
    }
}

/// Request of a client that was not read to its end.
#[derive(Clone, Copy, Debug)]
pub struct UnreadRequest {
    /// Why it was not.
    pub error: ReceiveError,
    /// Proof that it was not run.
    pub proof: NotRunProof,
}

/// Drops a request that was not handed to a client for servers, which shows that it was not run.
pub fn drop_request<B>(request: Request<B>) -> NotRunProof {
    HeldRequest::new(UnsentRequest(request)).give_up()
}
