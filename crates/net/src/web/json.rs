//! Client for requests with JSON bodies to one server.

use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Method, Request, StatusCode};

use super::body::{empty_body, full_body};
use super::client::{CollectOutcome, WebClient};

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

    /// Sends one request; the body, if any, must be JSON.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        deadline: ClockTime,
    ) -> JsonOutcome {
        match self.collect(method, path, body, deadline).await {
            CollectOutcome::Response(parts, body) => JsonOutcome::Response(parts.status, body),
            CollectOutcome::NotSent => JsonOutcome::NotSent,
            CollectOutcome::Lost => JsonOutcome::Lost,
        }
    }

    /// Sends one request as [`Self::call`] does, and returns the headers of the response too.
    pub async fn collect(
        &self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        deadline: ClockTime,
    ) -> CollectOutcome {
        let request = Request::builder().method(method).uri(path);
        let request = match body {
            Some(body) => request
                .header(CONTENT_TYPE, "application/json")
                .body(full_body(body)),
            None => request.body(empty_body()),
        };
        let request = match request {
            Ok(request) => request,
            Err(error) => {
                log::error!(path; "request could not be built: {error}");
                return CollectOutcome::NotSent;
            }
        };
        self.client
            .collect(self.server, request, self.response_limit, deadline)
            .await
    }
}
