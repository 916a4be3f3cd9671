//! Small helpers that all stand-ins share.

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use hyper::body::Incoming;
use net::web::{WebLimits, WebResponse, receive_body, text_response};
use serde::de::DeserializeOwned;

/// Text of a header; empty if it is missing.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

/// Value of one key in the query part of a request's path.
pub fn query_value<'a>(request: &'a Request<Incoming>, key: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(name, value)| (name == key).then_some(value))
}

/// Number of one key in the query part of a request's path.
pub fn query_number(request: &Request<Incoming>, key: &str) -> Option<u64> {
    query_value(request, key)?.parse().ok()
}

/// Body of a request.
pub async fn read_bytes(body: Incoming) -> Result<Bytes, WebResponse> {
    receive_body(body, &WebLimits::default())
        .await
        .map_err(|fault| text_response(StatusCode::BAD_REQUEST, &fault.to_string()))
}

/// Body of a request in JSON.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, WebResponse> {
    let bytes = read_bytes(body).await?;
    serde_json::from_slice(&bytes)
        .map_err(|fault| text_response(StatusCode::BAD_REQUEST, &fault.to_string()))
}

/// Answer for a path that a stand-in does not have.
pub fn unknown_path() -> WebResponse {
    text_response(StatusCode::NOT_FOUND, "no such path")
}
