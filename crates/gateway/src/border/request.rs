//! Request that is forwarded to endpoints.

use base::prelude::*;
use bytes::Bytes;
use http::request::Builder;
use http::{HeaderMap, HeaderValue, Method};
use net::web::{WebRequest, full_body};

use super::response::REQUEST_HEADER;
use crate::SendOrder;

/// Header with the addressed group.
const GROUP_HEADER: &str = "x-bronzerun-group";
/// Header with the expected generation of that group.
const EPOCH_HEADER: &str = "x-bronzerun-epoch";
/// Header with the number of tokens that the caller has already received.
const RESUME_HEADER: &str = "x-bronzerun-resume";
/// Request to forward to an endpoint.
pub struct EndpointRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query string.
    pub path: Arc<str>,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Whether the response is a stream of events.
    pub streams: bool,
    /// Request identifier, sent to the endpoint and to the caller.
    pub id: HeaderValue,
}

impl EndpointRequest {
    /// Request as an endpoint gets it; `sent_tokens` were forwarded to the caller.
    pub fn to_web_request(&self, order: &SendOrder, sent_tokens: usize) -> Option<WebRequest> {
        let mut builder = http::Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_ref());
        *builder.headers_mut()? = self.headers.clone();
        builder = builder.header(REQUEST_HEADER, self.id.clone());
        builder = add_group_headers(builder, order, sent_tokens);
        builder.body(full_body(self.body.clone())).ok()
    }
}

fn add_group_headers(builder: Builder, order: &SendOrder, sent_tokens: usize) -> Builder {
    let Some(generation) = &order.generation else {
        return builder;
    };
    builder
        .header(GROUP_HEADER, generation.group.as_str())
        .header(EPOCH_HEADER, generation.epoch.0)
        .header(RESUME_HEADER, sent_tokens)
}
