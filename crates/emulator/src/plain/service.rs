//! HTTP interface of an emulated plain service.

use std::cell::RefCell;
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::LocalBoxFuture;
use http::{HeaderValue, Request, StatusCode};
use net::web::RequestBody;
use net::web::{WebResponse, WebService, json_response};
use serde::{Deserialize, Serialize};

use crate::web::read_bytes;

/// Header with the request ID, in requests and responses.
const REQUEST_HEADER: &str = "x-request-id";

/// Behavior of a plain service.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainOptions {
    /// Duration of a call.
    pub call_time: Duration,
}

/// Call that the service has executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutedCall {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Request ID; empty if the request had none.
    pub request: String,
    /// Body as text.
    pub body: String,
}

/// Emulated plain service.
#[derive(Clone)]
pub struct PlainService {
    host: HostName,
    executed_calls: Rc<RefCell<Vec<ExecutedCall>>>,
    options: PlainOptions,
}

#[derive(Serialize)]
struct CallResponse<'a> {
    host: &'a HostName,
    run: usize,
    path: &'a str,
}

impl PlainService {
    /// Creates a service that has executed no calls.
    pub fn new(host: HostName, options: PlainOptions) -> Self {
        Self {
            host,
            executed_calls: Rc::default(),
            options,
        }
    }

    async fn route(&self, request: Request<RequestBody>) -> WebResponse {
        if request.uri().path() == "/emulator/runs" {
            return json_response(StatusCode::OK, &*self.executed_calls.borrow());
        }
        let (parts, body) = request.into_parts();
        let body = match read_bytes(body).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let id = parts.headers.get(REQUEST_HEADER).cloned();
        let id = id.unwrap_or_else(|| HeaderValue::from_static(""));
        let path = parts.uri.to_string();
        let record = ExecutedCall {
            method: parts.method.to_string(),
            path: path.clone(),
            request: id.to_str().unwrap_or("").to_owned(),
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        let run = self.record(record);
        monoio::time::sleep(self.options.call_time).await;
        let response = CallResponse {
            host: &self.host,
            run,
            path: &path,
        };
        let mut response = json_response(StatusCode::OK, &response);
        response.headers_mut().insert(REQUEST_HEADER, id);
        response
    }

    fn record(&self, record: ExecutedCall) -> usize {
        let mut executed_calls = self.executed_calls.borrow_mut();
        executed_calls.push(record);
        executed_calls.len()
    }
}

impl WebService for PlainService {
    fn answer(&self, request: Request<RequestBody>) -> LocalBoxFuture<'static, WebResponse> {
        let this = self.clone();
        Box::pin(async move { this.route(request).await })
    }
}
