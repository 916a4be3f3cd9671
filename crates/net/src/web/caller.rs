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
pub enum CallReply {
    /// Status and body of the answer.
    Answered(StatusCode, Bytes),
    /// No byte was sent.
    NotSent,
    /// It may have been sent, but no whole answer came.
    Lost,
}

/// Caller of one server.
#[derive(Clone)]
pub struct JsonCaller {
    client: WebClient,
    server: SocketAddr,
    answer_limit: usize,
}

impl JsonCaller {
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
    ) -> CallReply {
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
                return CallReply::NotSent;
            }
        };
        let collected = self
            .client
            .collect(self.server, request, self.answer_limit, deadline);
        match collected.await {
            CollectOutcome::Answered(parts, body) => CallReply::Answered(parts.status, body),
            CollectOutcome::NotSent => CallReply::NotSent,
            CollectOutcome::Lost => CallReply::Lost,
        }
    }
}
