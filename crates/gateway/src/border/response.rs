//! HTTP responses that the gateway builds.

use base::prelude::*;
use bytes::Bytes;
use exchange::{FinalStatus, NotRunProof};
use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use ledger::{RecordedBody, RecordedHeader, RecordedResponse};
use net::web::{ReceiveError, WebResponse, full_body, json_response};
use serde::Serialize;

use super::parse::ParseError;
use crate::{CallRefusal, RefusalCause, RunState};

/// Header with the request identifier, in requests and responses.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Header that tells whether a refused call was run.
const RUN_HEADER: &str = "x-bronzerun-run";
/// Header with the length of a recorded response whose body was omitted, in bytes.
const OMITTED_HEADER: &str = "x-bronzerun-omitted-bytes";

/// Prefix of the headers that the gateway reads or sets itself.
const INTERNAL_HEADER_PREFIX: &str = "x-bronzerun-";
/// Headers that apply to a single connection and are never forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 11] = [
    CONNECTION,
    CONTENT_LENGTH,
    HOST,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

#[derive(Serialize)]
struct ErrorWire<'a> {
    error: ErrorBody<'a>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'a str,
    code: &'a str,
    param: Option<&'a str>,
    run: &'a str,
}

/// JSON of an error, in the form that client libraries expect.
fn error_wire<'a>(message: &'a str, code: &'a str, run: RunState) -> ErrorWire<'a> {
    let kind = match run {
        RunState::NotRun(_) => "not_run",
        RunState::Running | RunState::Unknown => "outcome_unknown",
    };
    ErrorWire {
        error: ErrorBody {
            message,
            kind,
            code,
            param: None,
            run: run_text(run),
        },
    }
}

/// Text of a run state, for callers and logs.
pub fn run_text(run: RunState) -> &'static str {
    match run {
        RunState::NotRun(_) => "not_run",
        RunState::Running => "running",
        RunState::Unknown => "unknown",
    }
}

fn error_response(status: StatusCode, message: &str, code: &str, run: RunState) -> WebResponse {
    let mut response = json_response(status, &error_wire(message, code, run));
    let run = HeaderValue::from_static(run_text(run));
    response.headers_mut().insert(RUN_HEADER, run);
    response
}

/// Response to a request that is not a valid call.
pub fn parse_error_response(error: &ParseError, proof: NotRunProof) -> WebResponse {
    let (status, code) = match error {
        ParseError::KeyMissing => (StatusCode::UNAUTHORIZED, "invalid_api_key"),
        ParseError::Path => (StatusCode::NOT_FOUND, "unknown_path"),
        ParseError::Method { .. } => (StatusCode::METHOD_NOT_ALLOWED, "wrong_method"),
        ParseError::Service(_) => (StatusCode::NOT_FOUND, "unknown_service"),
        ParseError::Header { .. } | ParseError::Body { .. } => {
            (StatusCode::BAD_REQUEST, "invalid_request")
        }
    };
    error_response(status, &error.to_string(), code, RunState::NotRun(proof))
}

/// Response to a request whose body could not be read.
pub fn receive_error_response(error: &ReceiveError, proof: NotRunProof) -> WebResponse {
    let (status, code) = match error {
        ReceiveError::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
        ReceiveError::TooSlow { .. } => (StatusCode::REQUEST_TIMEOUT, "body_too_slow"),
        ReceiveError::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, "no_memory"),
        ReceiveError::Broken => (StatusCode::BAD_REQUEST, "body_broken"),
    };
    error_response(status, &error.to_string(), code, RunState::NotRun(proof))
}

/// Response to a request that arrived after the event loop ended.
pub fn stopped_response(proof: NotRunProof) -> WebResponse {
    error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "this gateway has stopped: send the request again",
        "stopping",
        RunState::NotRun(proof),
    )
}

/// Response to a call that was interrupted by the end of the process.
pub fn interrupted_response() -> WebResponse {
    error_response(
        StatusCode::BAD_GATEWAY,
        "this gateway stopped before the call had ended, so it may or may not have run",
        "stopping",
        RunState::Unknown,
    )
}

/// Response to a refused call.
pub fn refusal_response(refusal: &CallRefusal, now: ClockTime) -> WebResponse {
    let (status, code, message) = describe_cause(refusal.cause);
    let mut response = error_response(status, message, code, refusal.run);
    if let Some(retry_at) = refusal.retry_at {
        let seconds = retry_at.since(now).as_secs_f64().ceil();
        let seconds = HeaderValue::from(seconds as u64);
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// Server-sent event that ends an incomplete stream.
pub fn refusal_event(refusal: &CallRefusal) -> Bytes {
    let (_, code, message) = describe_cause(refusal.cause);
    let wire = error_wire(message, code, refusal.run);
    let json = serde_json::to_string(&wire).expect("wire types have a JSON form");
    Bytes::from(format!("event: error\ndata: {json}\n\n"))
}

fn describe_cause(cause: RefusalCause) -> (StatusCode, &'static str, &'static str) {
    match cause {
        RefusalCause::UnknownKey => (
            StatusCode::UNAUTHORIZED,
            "invalid_api_key",
            "nobody has this API key: check it with your workspace's operators",
        ),
        RefusalCause::UnknownService => (
            StatusCode::NOT_FOUND,
            "unknown_service",
            "your workspace has no such service: GET /v1/models lists its models",
        ),
        RefusalCause::WrongKind => (
            StatusCode::BAD_REQUEST,
            "wrong_kind",
            "this service takes other calls: models at /v1/, plain services at /services/",
        ),
        RefusalCause::KeyMissing => (
            StatusCode::BAD_REQUEST,
            "idempotency_key_missing",
            "this call may run only once: send an 'Idempotency-Key' header with it",
        ),
        RefusalCause::KeyReused => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "idempotency_key_reused",
            "this idempotency key belongs to another request: give each request its own",
        ),
        RefusalCause::DocumentBehind => (
            StatusCode::SERVICE_UNAVAILABLE,
            "document_behind",
            "this gateway is about to learn of a change that may allow the call: send it again \
             after 'Retry-After'",
        ),
        RefusalCause::Overloaded => (
            StatusCode::TOO_MANY_REQUESTS,
            "overloaded",
            "too many calls of your workspace wait: send it again after 'Retry-After'",
        ),
        RefusalCause::Deadline => (
            StatusCode::SERVICE_UNAVAILABLE,
            "deadline",
            "the call could not start by its deadline: give it more time or send it later",
        ),
        RefusalCause::NoEndpoint => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no_endpoint",
            "nothing serves this service at present: send the call again later",
        ),
        RefusalCause::StoreDown => (
            StatusCode::SERVICE_UNAVAILABLE,
            "store_unavailable",
            "this attempt was not run, because calls that may run only once cannot be accepted at \
             present: send it again later with the same key",
        ),
        RefusalCause::EndpointLost => (
            StatusCode::BAD_GATEWAY,
            "outcome_unknown",
            "the endpoint gave no whole answer, so the call may or may not have run",
        ),
        RefusalCause::StillRunning => (
            StatusCode::CONFLICT,
            "still_running",
            "a call with this idempotency key is still running: ask again with the same key",
        ),
    }
}

/// End-to-end headers, which are forwarded in either direction, without those of the gateway.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_headers = headers.get_all(CONNECTION).into_iter();
    let connection_headers = connection_headers.filter_map(|value| value.to_str().ok());
    let connection_headers: Vec<&str> = connection_headers
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect();
    let is_kept_back = |name: &HeaderName| {
        name.as_str().starts_with(INTERNAL_HEADER_PREFIX)
            || HOP_BY_HOP_HEADERS.contains(name)
            || connection_headers
                .iter()
                .any(|header| header.eq_ignore_ascii_case(name.as_str()))
    };
    let forwarded = headers.iter().filter(|(name, _)| !is_kept_back(name));
    forwarded
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Response of an endpoint to forward.
pub fn endpoint_response(parts: &Parts, body: Bytes) -> WebResponse {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = forwarded_headers(&parts.headers);
    response
}

/// Response in the form that the ledger records.
pub fn to_recorded(parts: &Parts, body: &Bytes) -> RecordedResponse {
    let content_type = parts.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let headers = content_type.map(|value| RecordedHeader {
        name: Arc::from(CONTENT_TYPE.as_str()),
        value: Arc::from(value),
    });
    RecordedResponse {
        status: parts.status.as_u16(),
        headers: headers.into_iter().collect(),
        body: RecordedBody::Whole(Arc::from(body.as_ref())),
    }
}

/// Response recorded in the ledger.
pub fn recorded_response(recorded: &RecordedResponse) -> WebResponse {
    let (body, omitted) = match &recorded.body {
        RecordedBody::Whole(bytes) => (Bytes::copy_from_slice(bytes), None),
        RecordedBody::Omitted { length } => (Bytes::new(), Some(*length)),
    };
    let mut response = Response::new(full_body(body));
    *response.status_mut() = recorded_status(recorded.status);
    for header in &recorded.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_str(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().insert(name, value);
        }
    }
    if let Some(length) = omitted {
        let length = HeaderValue::from(length);
        response.headers_mut().insert(OMITTED_HEADER, length);
    }
    response
}

/// Status of a recorded response; earlier builds recorded any three digits.
fn recorded_status(code: u16) -> StatusCode {
    let status = FinalStatus::try_from(code).ok();
    let status = status.and_then(|status| StatusCode::from_u16(status.code()).ok());
    status.unwrap_or(StatusCode::BAD_GATEWAY)
}
