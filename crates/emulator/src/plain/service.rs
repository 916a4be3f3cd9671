//! HTTP interface of a plain service.

use std::cell::RefCell;
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::LocalBoxFuture;
use http::{HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use net::web::{WebResponse, WebService, json_response};
use serde::{Deserialize, Serialize};

use crate::web::read_bytes;

/// Header that names a request in both directions.
const REQUEST_HEADER: &str = "x-request-id";

/// How a plain service behaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainOptions {
    /// Time that a call takes.
    pub call_time: Duration,
}

/// Call that was run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Identifier that the sender gave it.
    pub request: String,
    /// Body as text.
    pub body: String,
}

/// Stand-in for a plain service.
#[derive(Clone)]
pub struct PlainService {
    host: HostName,
    runs: Rc<RefCell<Vec<RunRecord>>>,
    options: PlainOptions,
}

#[derive(Serialize)]
struct RunReply<'a> {
    host: &'a HostName,
    run: usize,
    path: &'a str,
}

impl PlainService {
    /// Service that has run nothing yet.
    pub fn new(host: HostName, options: PlainOptions) -> Self {
        Self {
            host,
            runs: Rc::default(),
            options,
        }
    }

    async fn route(&self, request: Request<Incoming>) -> WebResponse {
        if request.uri().path() == "/emulator/runs" {
            return json_response(StatusCode::OK, &*self.runs.borrow());
        }
        let (parts, body) = request.into_parts();
        let body = match read_bytes(body).await {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        let id = parts.headers.get(REQUEST_HEADER).cloned();
        let id = id.unwrap_or_else(|| HeaderValue::from_static(""));
        let path = parts.uri.to_string();
        let record = RunRecord {
            method: parts.method.to_string(),
            path: path.clone(),
            request: id.to_str().unwrap_or("").to_owned(),
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        let run = self.record(record);
        monoio::time::sleep(self.options.call_time).await;
        let reply = RunReply {
            host: &self.host,
            run,
            path: &path,
        };
        let mut reply = json_response(StatusCode::OK, &reply);
        reply.headers_mut().insert(REQUEST_HEADER, id);
        reply
    }

    fn record(&self, record: RunRecord) -> usize {
        let mut runs = self.runs.borrow_mut();
        runs.push(record);
        runs.len()
    }
}

impl WebService for PlainService {
    fn answer(&self, request: Request<Incoming>) -> LocalBoxFuture<'static, WebResponse> {
        let this = self.clone();
        Box::pin(async move { this.route(request).await })
    }
}
