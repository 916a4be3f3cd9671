//! Request that is forwarded to endpoints.

use base::prelude::*;
use bytes::Bytes;
use exchange::NotRunProof;
use http::{HeaderMap, HeaderValue, Method};
use net::web::{WebRequest, drop_request, full_body};

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
    /// Request as an endpoint gets it, which is dropped if its path or group can't be sent;
    /// `sent_tokens` were forwarded to the caller.
    pub fn to_web_request(
        &self,
        order: &SendOrder,
        sent_tokens: usize,
    ) -> Result<WebRequest, NotRunProof> {
        let mut request = WebRequest::new(full_body(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.headers_mut() = self.headers.clone();
        request
            .headers_mut()
            .insert(REQUEST_HEADER, self.id.clone());
        let is_complete = set_path(&mut request, &self.path).is_some()
            && add_group_headers(&mut request, order, sent_tokens).is_some();
        if is_complete {
            Ok(request)
        } else {
            Err(drop_request(request))
        }
    }
}

fn set_path(request: &mut WebRequest, path: &str) -> Option<()> {
    *request.uri_mut() = path.parse().ok()?;
    Some(())
}

fn add_group_headers(
    request: &mut WebRequest,
    order: &SendOrder,
    sent_tokens: usize,
) -> Option<()> {
    let Some(generation) = &order.generation else {
        return Some(());
    };
    let group = HeaderValue::from_str(generation.group.as_str()).ok()?;
    let headers = request.headers_mut();
    headers.insert(GROUP_HEADER, group);
    headers.insert(EPOCH_HEADER, HeaderValue::from(generation.epoch.0));
    headers.insert(RESUME_HEADER, HeaderValue::from(sent_tokens));
    Some(())
}
