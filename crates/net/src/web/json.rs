//! Client for requests with JSON bodies to one server.

use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use exchange::NotRunProof;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, StatusCode, Uri};

use super::body::{empty_body, full_body};
use super::client::{BodyAllowance, CollectOutcome, WebClient, WebRequest};
use super::held::drop_request;
use super::target::RequestTarget;

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JsonOutcome {
    /// Status and body of the response.
    Response(StatusCode, Bytes),
    /// No byte of the request was sent.
    NotSent,
    /// The request may have been sent, but no complete response was received.
    Lost,
}

/// Client of one server.
#[derive(Clone)]
pub struct JsonClient {
    client: WebClient,
    server: SocketAddr,
    response_limit: usize,
}

impl JsonClient {
    /// Creates a client that accepts response bodies of up to `response_limit` bytes.
    pub fn new(client: WebClient, server: SocketAddr, response_limit: usize) -> Self {
        Self {
            client,
            server,
            response_limit,
        }
    }

    /// Drops the idle connections to the server.
    pub fn drop_idle(&self) {
        self.client.drop_idle(self.server);
    }

    /// Sends one request; the body, if any, must be JSON.
    pub async fn call(
        &self,
        method: Method,
        target: &RequestTarget,
        body: Option<Bytes>,
        deadline: ClockTime,
    ) -> JsonOutcome {
        match self.collect(method, target, body, deadline).await {
            CollectOutcome::Response(parts, body) => JsonOutcome::Response(parts.status, body),
            CollectOutcome::NotSent(_) => JsonOutcome::NotSent,
            CollectOutcome::Lost | CollectOutcome::Discarded | CollectOutcome::Incomplete => {
                JsonOutcome::Lost
            }
        }
    }

    /// Sends one request as [`Self::call`] does, and returns the headers of the response too.
    pub async fn collect(
        &self,
        method: Method,
        target: &RequestTarget,
        body: Option<Bytes>,
        deadline: ClockTime,
    ) -> CollectOutcome {
        let request = match json_request(method, target, body) {
            Ok(request) => request,
            Err(proof) => return CollectOutcome::NotSent(proof),
        };
        self.client
            .collect(self.server, request, self.response_limit, deadline)
            .await
    }

    /// Sends one request whose response must begin before the deadline; its body may take longer
    /// while bytes of it arrive.
    pub async fn collect_while_arriving(
        &self,
        method: Method,
        target: &RequestTarget,
        body: Option<Bytes>,
        deadline: ClockTime,
        allowance: BodyAllowance,
    ) -> CollectOutcome {
        let request = match json_request(method, target, body) {
            Ok(request) => request,
            Err(proof) => return CollectOutcome::NotSent(proof),
        };
        let (server, limit) = (self.server, self.response_limit);
        self.client
            .collect_while_arriving(server, request, limit, deadline, allowance)
            .await
    }
}

/// Request with a body of JSON, which is dropped if the target is too long.
fn json_request(
    method: Method,
    target: &RequestTarget,
    body: Option<Bytes>,
) -> Result<WebRequest, NotRunProof> {
    let has_body = body.is_some();
    let mut request = WebRequest::new(body.map_or_else(empty_body, full_body));
    *request.method_mut() = method;
    if has_body {
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
    }
    match Uri::try_from(target) {
        Ok(uri) => *request.uri_mut() = uri,
        Err(error) => {
            log::error!(path:% = target; "request could not be built: {error}");
            return Err(drop_request(request));
        }
    }
    Ok(request)
}
