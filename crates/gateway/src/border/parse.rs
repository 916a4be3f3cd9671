//! From a caller's request to a call.

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

/// Header that names a request on every device.
const KEY_HEADER: &str = "idempotency-key";
/// Header with a call's order within its workspace.
const PRIORITY_HEADER: &str = "x-bronzerun-priority";
/// Header with the time that a caller gives a call, in milliseconds.
const TIMEOUT_HEADER: &str = "x-bronzerun-timeout-ms";
/// Prefix of the paths of plain services.
const SERVICE_PATH: &str = "/services/";
/// Bytes of one block of a prompt's prefix.
const BLOCK_BYTES: usize = 256;
/// Blocks of a prompt that are hashed.
const BLOCK_LIMIT: usize = 64;
/// Tokens of a call that sets no limit.
const DEFAULT_TOKENS: u32 = 256;
/// Longest time that a caller may give a call, in milliseconds.
const TIMEOUT_LIMIT_MS: u64 = 3_600_000;

/// Why a request is no call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// No API key was given.
    #[error("no API key: send it as 'Authorization: Bearer KEY'")]
    KeyMissing,
    /// A header has a value that it can't have.
    #[error("the header '{header}' is wrong: {advice}")]
    Header {
        /// Header at fault.
        header: &'static str,
        /// What to send instead.
        advice: &'static str,
    },
    /// The body is not the JSON of such a call.
    #[error("the body is not what this call takes: {message}")]
    Body {
        /// What the parser found.
        message: String,
    },
    /// The name in the path or body is no name.
    #[error("no service can be called that: {0}")]
    Service(#[from] NameError),
    /// Nothing is found at the path.
    #[error(
        "no such path: use /v1/chat/completions, /v1/completions, /v1/models or /services/NAME/"
    )]
    Path,
    /// The path takes another method.
    #[error("use {allowed} for this path")]
    Method {
        /// Method that it takes.
        allowed: &'static str,
    },
}

/// Call as its path and body give it.
#[derive(Clone, Debug)]
pub struct ParsedCall {
    /// Service that it addresses.
    pub service: ServiceName,
    /// What it asks for.
    pub kind: CallKind,
    /// Path at the endpoint.
    pub path: Arc<str>,
    /// Whether the answer is a stream.
    pub streams: bool,
}

/// Headers that say how a call is to be treated.
#[derive(Clone, Debug)]
pub struct CallTerms {
    /// Digest of the API key.
    pub digest: KeyDigest,
    /// Idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Order within the workspace.
    pub priority: CallPriority,
    /// Time that the caller gives it.
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

/// Reads the headers that every call has.
pub fn parse_terms(headers: &HeaderMap) -> Result<CallTerms, ParseError> {
    Ok(CallTerms {
        digest: parse_digest(headers)?,
        key: parse_key(headers)?,
        priority: parse_priority(headers)?,
        timeout: parse_timeout(headers)?,
    })
}

/// Digest of the API key in the headers.
pub fn parse_digest(headers: &HeaderMap) -> Result<KeyDigest, ParseError> {
    let value = text_of(headers, AUTHORIZATION.as_str()).ok_or(ParseError::KeyMissing)?;
    let (scheme, key) = value.split_once(' ').ok_or(ParseError::KeyMissing)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(ParseError::KeyMissing);
    }
    Ok(KeyDigest::of_key(key.trim()))
}

/// Reads which service a request addresses and what it asks for.
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
    let fault = |message: String| ParseError::Body { message };
    let wire: PromptWire =
        serde_json::from_slice(body).map_err(|error| fault(error.to_string()))?;
    let prompt = wire
        .messages
        .or(wire.prompt)
        .ok_or_else(|| fault("give 'messages' or 'prompt'".to_owned()))?;
    let mut prefix = hash_prefix(prompt.get().as_bytes(), BLOCK_BYTES);
    prefix.truncate(BLOCK_LIMIT);
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
    let rest = path.strip_prefix(SERVICE_PATH).ok_or(ParseError::Path)?;
    let (service, _) = rest.split_once('/').unwrap_or((rest, ""));
    let inner = match &rest[service.len()..] {
        "" => "/",
        inner => inner,
    };
    let target = match parts.uri.query() {
        Some(query) => format!("{inner}?{query}"),
        None => inner.to_owned(),
    };
    let method = parts.method.as_str();
    Ok(ParsedCall {
        service: ServiceName::new(service)?,
        kind: CallKind::Plain {
            method: Arc::from(method),
            path: Arc::from(inner),
            digest: RequestDigest::of_call(method, &target, body),
        },
        path: Arc::from(target),
        streams: false,
    })
}

fn parse_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, ParseError> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let key = value
        .to_str()
        .ok()
        .and_then(|text| IdempotencyKey::new(text).ok());
    key.map(Some).ok_or(ParseError::Header {
        header: KEY_HEADER,
        advice: "give 1 to 128 letters, digits, '.', '_', ':' or '-'",
    })
}

fn parse_priority(headers: &HeaderMap) -> Result<CallPriority, ParseError> {
    match text_of(headers, PRIORITY_HEADER) {
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
    let Some(text) = text_of(headers, TIMEOUT_HEADER) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(millis @ 1..=TIMEOUT_LIMIT_MS) => Ok(Some(Duration::from_millis(millis))),
        _ => Err(ParseError::Header {
            header: TIMEOUT_HEADER,
            advice: "give a number of milliseconds from 1 to 3600000",
        }),
    }
}

fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
