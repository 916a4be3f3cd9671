//! States of a request until its answer.

use crate::{ExchangeTag, NotRunProof};

/// Message that is a whole request, so that what is dropped can't be sent.
pub trait RequestMessage {}

/// Request of which no byte was handed to a connection.
///
/// Only something that is a request can be held:
///
/// ```compile_fail,E0277
/// let proof = exchange::HeldRequest::new(()).give_up();
/// ```
///
/// One that a connection carries can't be given up any more:
///
/// ```compile_fail,E0382
/// use exchange::{ConnectionHistory, HeldRequest, RequestMessage};
///
/// fn send<T: RequestMessage>(history: &mut ConnectionHistory, held: HeldRequest<T>) {
///     let sent = exchange::commands::send(history, held);
///     let proof = held.give_up();
/// }
/// ```
///
/// ```compile_fail,E0599
/// use exchange::{ConnectionHistory, HeldRequest, RequestMessage};
///
/// fn send<T: RequestMessage>(history: &mut ConnectionHistory, held: HeldRequest<T>) {
///     let (sent, request) = exchange::commands::send(history, held);
///     let proof = sent.give_up();
/// }
/// ```
#[derive(Debug)]
pub struct HeldRequest<T> {
    pub(crate) request: T,
    pub(crate) tag: Option<ExchangeTag>,
}

impl<T: RequestMessage> HeldRequest<T> {
    /// Holds a request without a tag.
    pub fn new(request: T) -> Self {
        Self { request, tag: None }
    }

    /// Holds a request with this tag, if it has one.
    pub fn with_tag(request: T, tag: Option<ExchangeTag>) -> Self {
        Self { request, tag }
    }

    /// The request.
    pub fn request(&self) -> &T {
        &self.request
    }

    /// Drops the request, which shows that it was not run.
    pub fn give_up(self) -> NotRunProof {
        NotRunProof::new()
    }

    /// Hands the request out, which shows nothing any more.
    pub fn release(self) -> T {
        self.request
    }
}

/// Request that was handed to a connection.
#[derive(Debug)]
pub struct SentExchange {
    pub(crate) tag: Option<ExchangeTag>,
    pub(crate) number: u32,
}

impl SentExchange {
    /// Tag of the request.
    pub fn tag(&self) -> Option<&ExchangeTag> {
        self.tag.as_ref()
    }

    /// Holds the whole request again, which its connection has handed back.
    pub fn take_back<T: RequestMessage>(self, request: T) -> HeldRequest<T> {
        HeldRequest {
            request,
            tag: self.tag,
        }
    }
}
