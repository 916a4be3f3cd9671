//! Answers that the gateway makes itself.

use base::prelude::*;
use bytes::Bytes;
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

/// Header that names a request in both directions.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Header that says whether a refused call was run.
const RUN_HEADER: &str = "x-bronzerun-run";
/// Header with the length of an answer whose body is not kept.
const OMITTED_HEADER: &str = "x-bronzerun-omitted-bytes";

/// Headers that concern one connection and are never passed on.
const HOP_HEADERS: [HeaderName; 11] = [
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

/// JSON of an error, as client libraries expect it.
fn error_wire<'a>(message: &'a str, code: &'a str, run: RunState) -> ErrorWire<'a> {
    let kind = match run {
        RunState::NotRun => "not_run",
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

fn run_text(run: RunState) -> &'static str {
    match run {
        RunState::NotRun => "not_run",
        RunState::Running => "running",
        RunState::Unknown => "unknown",
    }
}

fn error_reply(status: StatusCode, message: &str, code: &str, run: RunState) -> WebResponse {
    let mut reply = json_response(status, &error_wire(message, code, run));
    let run = HeaderValue::from_static(run_text(run));
    reply.headers_mut().insert(RUN_HEADER, run);
    reply
}

/// Answer to a request that is no call.
pub fn parse_reply(error: &ParseError) -> WebResponse {
    let (status, code) = match error {
        ParseError::KeyMissing => (StatusCode::UNAUTHORIZED, "invalid_api_key"),
        ParseError::Path => (StatusCode::NOT_FOUND, "unknown_path"),
        ParseError::Method { .. } => (StatusCode::METHOD_NOT_ALLOWED, "wrong_method"),
        ParseError::Service(_) => (StatusCode::NOT_FOUND, "unknown_service"),
        ParseError::Header { .. } | ParseError::Body { .. } => {
            (StatusCode::BAD_REQUEST, "invalid_request")
        }
    };
    error_reply(status, &error.to_string(), code, RunState::NotRun)
}

/// Answer to a request whose body could not be read.
pub fn receive_reply(error: &ReceiveError) -> WebResponse {
    let (status, code) = match error {
        ReceiveError::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
        ReceiveError::TooSlow { .. } => (StatusCode::REQUEST_TIMEOUT, "body_too_slow"),
        ReceiveError::Broken => (StatusCode::BAD_REQUEST, "body_broken"),
    };
    error_reply(status, &error.to_string(), code, RunState::NotRun)
}

/// Answer to a caller whose key nobody has.
pub fn unknown_key_reply() -> WebResponse {
    let (status, code, message) = describe(RefusalCause::UnknownKey);
    error_reply(status, message, code, RunState::NotRun)
}

/// Answer once the gateway has stopped.
pub fn stopped_reply() -> WebResponse {
    error_reply(
        StatusCode::SERVICE_UNAVAILABLE,
        "this gateway has stopped: send the request again",
        "stopping",
        RunState::NotRun,
    )
}

/// Answer to a call that the end of the process cut off.
pub fn cut_reply() -> WebResponse {
    error_reply(
        StatusCode::BAD_GATEWAY,
        "this gateway stopped before the call had ended, so it may or may not have run",
        "stopping",
        RunState::Unknown,
    )
}

/// Answer to a refused call.
pub fn refusal_reply(refusal: &CallRefusal, now: ClockTime) -> WebResponse {
    let (status, code, message) = describe(refusal.cause);
    let mut reply = error_reply(status, message, code, refusal.run);
    if let Some(retry_at) = refusal.retry_at {
        let seconds = retry_at.since(now).as_secs_f64().ceil();
        let seconds = HeaderValue::from(seconds as u64);
        reply.headers_mut().insert(RETRY_AFTER, seconds);
    }
    reply
}

/// Server-sent event that ends a stream which is not whole.
pub fn refusal_event(refusal: &CallRefusal) -> Bytes {
    let (_, code, message) = describe(refusal.cause);
    let wire = error_wire(message, code, refusal.run);
    let json = serde_json::to_string(&wire).expect("wire types have a JSON form");
    Bytes::from(format!("event: error\ndata: {json}\n\n"))
}

fn describe(cause: RefusalCause) -> (StatusCode, &'static str, &'static str) {
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

/// Headers that are passed on, in either direction.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all(CONNECTION).into_iter();
    let named = named.filter_map(|value| value.to_str().ok());
    let named: Vec<&str> = named
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect();
    let is_hop = |name: &HeaderName| {
        HOP_HEADERS.contains(name)
            || named
                .iter()
                .any(|hop| hop.eq_ignore_ascii_case(name.as_str()))
    };
    let passed = headers.iter().filter(|(name, _)| !is_hop(name));
    passed
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Answer of an endpoint, passed on whole.
pub fn whole_reply(parts: &Parts, body: Bytes) -> WebResponse {
    let mut reply = Response::new(full_body(body));
    *reply.status_mut() = parts.status;
    *reply.headers_mut() = forwarded_headers(&parts.headers);
    reply
}

/// Answer as the ledger keeps it.
pub fn record_answer(parts: &Parts, body: &Bytes) -> RecordedResponse {
    let kind = parts.headers.get(CONTENT_TYPE);
    let kind = kind.and_then(|value| value.to_str().ok());
    let headers = kind.map(|value| RecordedHeader {
        name: Arc::from(CONTENT_TYPE.as_str()),
        value: Arc::from(value),
    });
    RecordedResponse {
        status: parts.status.as_u16(),
        headers: headers.into_iter().collect(),
        body: RecordedBody::Whole(Arc::from(body.as_ref())),
    }
}

/// Answer from the ledger.
pub fn recorded_reply(answer: &RecordedResponse) -> WebResponse {
    let (body, omitted) = match &answer.body {
        RecordedBody::Whole(bytes) => (Bytes::copy_from_slice(bytes), None),
        RecordedBody::Omitted { length } => (Bytes::new(), Some(*length)),
    };
    let mut reply = Response::new(full_body(body));
    *reply.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for header in &answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_str(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            reply.headers_mut().insert(name, value);
        }
    }
    if let Some(length) = omitted {
        let length = HeaderValue::from(length);
        reply.headers_mut().insert(OMITTED_HEADER, length);
    }
    reply
}
