//! Short calls with JSON bodies to one server.

use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Method, Request, StatusCode};

use super::body::{empty_body, full_body};
use super::client::{CollectOutcome, WebClient};

/// How a short call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JsonOutcome {
    /// Status and body of the answer.
    Response(StatusCode, Bytes),
    /// No byte was sent.
    NotSent,
    /// It may have been sent, but no whole answer came.
    Lost,
}

/// Caller of one server.
#[derive(Clone)]
pub struct JsonClient {
    client: WebClient,
    server: SocketAddr,
    answer_limit: usize,
}

impl JsonClient {
    /// Caller that takes answers up to so many bytes.
    pub fn new(client: WebClient, server: SocketAddr, answer_limit: usize) -> Self {
        Self {
            client,
            server,
            answer_limit,
        }
    }

    /// Makes one call; a body is JSON.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        deadline: ClockTime,
    ) -> JsonOutcome {
        let request = Request::builder().method(method).uri(path);
        let request = match body {
            Some(body) => request
                .header(CONTENT_TYPE, "application/json")
                .body(full_body(body)),
            None => request.body(empty_body()),
        };
        let request = match request {
            Ok(request) => request,
            Err(fault) => {
                log::error!(path; "a call could not be built: {fault}");
                return JsonOutcome::NotSent;
            }
        };
        let collected = self
            .client
            .collect(self.server, request, self.answer_limit, deadline);
        match collected.await {
            CollectOutcome::Response(parts, body) => JsonOutcome::Response(parts.status, body),
            CollectOutcome::NotSent => JsonOutcome::NotSent,
            CollectOutcome::Lost => JsonOutcome::Lost,
        }
    }
}
