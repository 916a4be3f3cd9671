//! Parsing of callers' requests.

use base::prelude::*;
use bytes::Bytes;
use document::KeyDigest;
use http::header::AUTHORIZATION;
use http::request::Parts;
use http::{HeaderMap, Method};
use ledger::RequestDigest;
use limits::CallPriority;
use routing::hash_prefix;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::CallKind;

/// Header with the idempotency key, which identifies a request when it is repeated,
/// also from another device.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the priority of a call within its workspace.
const PRIORITY_HEADER: &str = "x-bronzerun-priority";
/// Header with the timeout of a call, in milliseconds.
const TIMEOUT_HEADER: &str = "x-bronzerun-timeout-ms";
/// Path prefix of plain services.
const SERVICE_PATH_PREFIX: &str = "/services/";
/// Size of the blocks in which a prompt's prefix is hashed, in bytes.
const BLOCK_BYTES: usize = 256;
/// Largest number of blocks of a prompt that are hashed.
const MAX_BLOCKS: usize = 64;
/// Assumed number of generated tokens of a call that sets no limit.
const DEFAULT_TOKENS: u32 = 256;
/// Longest timeout that a caller may set, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Reason why a request is not a valid call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The API key is missing or not sent as a bearer token.
    #[error("no API key: send it as 'Authorization: Bearer KEY'")]
    KeyMissing,
    /// A header has an invalid value.
    #[error("the header '{header}' is wrong: {advice}")]
    Header {
        /// Name of the header.
        header: &'static str,
        /// Description of the valid values.
        advice: &'static str,
    },
    /// The body is not valid JSON for this kind of call.
    #[error("the body is not what this call takes: {message}")]
    Body {
        /// Message of the parser.
        message: String,
    },
    /// The service name in the path or body is not a valid name.
    #[error("no service can be called that: {0}")]
    Service(#[from] NameError),
    /// The path is unknown.
    #[error(
        "no such path: use /v1/chat/completions, /v1/completions, /v1/models or /services/NAME/"
    )]
    Path,
    /// The path requires another method.
    #[error("use {allowed} for this path")]
    Method {
        /// Required method.
        allowed: &'static str,
    },
}

/// Call as read from the path and body of a request.
#[derive(Clone, Debug)]
pub struct ParsedCall {
    /// Called service.
    pub service: ServiceName,
    /// Type of the call and its parameters.
    pub kind: CallKind,
    /// Path and query string at the endpoint.
    pub path: Arc<str>,
    /// Whether the response is a stream of events.
    pub streams: bool,
}

/// Values of the headers that control the processing of a call.
#[derive(Clone, Debug)]
pub struct CallHeaders {
    /// Digest of the API key.
    pub digest: KeyDigest,
    /// Idempotency key, if one was sent.
    pub key: Option<IdempotencyKey>,
    /// Priority within the workspace.
    pub priority: CallPriority,
    /// Timeout set by the caller.
    pub timeout: Option<Duration>,
}

#[derive(Deserialize)]
struct PromptWire<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

/// Parses the headers that control the processing of a call.
pub fn parse_headers(headers: &HeaderMap) -> Result<CallHeaders, ParseError> {
    Ok(CallHeaders {
        digest: parse_digest(headers)?,
        key: parse_key(headers)?,
        priority: parse_priority(headers)?,
        timeout: parse_timeout(headers)?,
    })
}

/// Digest of the API key in the headers.
pub fn parse_digest(headers: &HeaderMap) -> Result<KeyDigest, ParseError> {
    let value = header_text(headers, AUTHORIZATION.as_str()).ok_or(ParseError::KeyMissing)?;
    let (scheme, key) = value.split_once(' ').ok_or(ParseError::KeyMissing)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(ParseError::KeyMissing);
    }
    Ok(KeyDigest::of_key(key.trim()))
}

/// Parses the path and body of a request.
pub fn parse_call(parts: &Parts, body: &Bytes) -> Result<ParsedCall, ParseError> {
    let path = parts.uri.path();
    match path {
        "/v1/chat/completions" | "/v1/completions" if parts.method == Method::POST => {
            parse_model(path, body)
        }
        "/v1/chat/completions" | "/v1/completions" => Err(ParseError::Method { allowed: "POST" }),
        _ => parse_plain(parts, body),
    }
}

fn parse_model(path: &str, body: &Bytes) -> Result<ParsedCall, ParseError> {
    let body_error = |message: String| ParseError::Body { message };
    let wire: PromptWire =
        serde_json::from_slice(body).map_err(|error| body_error(error.to_string()))?;
    let prompt = wire
        .messages
        .or(wire.prompt)
        .ok_or_else(|| body_error("give 'messages' or 'prompt'".to_owned()))?;
    let mut prefix = hash_prefix(prompt.get().as_bytes(), BLOCK_BYTES);
    prefix.truncate(MAX_BLOCKS);
    let tokens = wire.max_tokens.or(wire.max_completion_tokens);
    Ok(ParsedCall {
        service: ServiceName::new(&wire.model)?,
        kind: CallKind::Model {
            prefix,
            tokens: tokens.unwrap_or(DEFAULT_TOKENS),
        },
        path: Arc::from(path),
        streams: wire.stream,
    })
}

fn parse_plain(parts: &Parts, body: &Bytes) -> Result<ParsedCall, ParseError> {
    let path = parts.uri.path();
    let rest = path
        .strip_prefix(SERVICE_PATH_PREFIX)
        .ok_or(ParseError::Path)?;
    let (service, _) = rest.split_once('/').unwrap_or((rest, ""));
    let service_path = match &rest[service.len()..] {
        "" => "/",
        service_path => service_path,
    };
    let path_and_query = match parts.uri.query() {
        Some(query) => format!("{service_path}?{query}"),
        None => service_path.to_owned(),
    };
    let method = parts.method.as_str();
    Ok(ParsedCall {
        service: ServiceName::new(service)?,
        kind: CallKind::Plain {
            method: Arc::from(method),
            path: Arc::from(service_path),
            digest: RequestDigest::of_call(method, &path_and_query, body),
        },
        path: Arc::from(path_and_query),
        streams: false,
    })
}

fn parse_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, ParseError> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let key = value
        .to_str()
        .ok()
        .and_then(|text| IdempotencyKey::new(text).ok());
    key.map(Some).ok_or(ParseError::Header {
        header: IDEMPOTENCY_KEY_HEADER,
        advice: "give 1 to 128 letters, digits, '.', '_', ':' or '-'",
    })
}

fn parse_priority(headers: &HeaderMap) -> Result<CallPriority, ParseError> {
    match header_text(headers, PRIORITY_HEADER) {
        None | Some("normal") => Ok(CallPriority::Normal),
        Some("low") => Ok(CallPriority::Low),
        Some("high") => Ok(CallPriority::High),
        Some(_) => Err(ParseError::Header {
            header: PRIORITY_HEADER,
            advice: "give low, normal or high",
        }),
    }
}

fn parse_timeout(headers: &HeaderMap) -> Result<Option<Duration>, ParseError> {
    let Some(text) = header_text(headers, TIMEOUT_HEADER) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(millis @ 1..=MAX_TIMEOUT_MS) => Ok(Some(Duration::from_millis(millis))),
        _ => Err(ParseError::Header {
            header: TIMEOUT_HEADER,
            advice: "give a number of milliseconds from 1 to 3600000",
        }),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
