//! HTTP helpers shared by the emulators.

use std::borrow::Cow;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use net::web::RequestBody;
use net::web::{WebLimits, WebResponse, receive_body, text_response};
use serde::de::DeserializeOwned;

/// Value of a header; empty if it is missing or not text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

/// Decoded value of a key in the query string of a request.
pub fn query_value<'a>(request: &'a Request<RequestBody>, key: &str) -> Option<Cow<'a, str>> {
    let query = request.uri().query()?;
    form_urlencoded::parse(query.as_bytes())
        .find_map(|(name, value)| (name == key).then_some(value))
}

/// Value of a key in the query string as a number; `None` if it is missing or no number.
pub fn query_number(request: &Request<RequestBody>, key: &str) -> Option<u64> {
    query_value(request, key)?.parse().ok()
}

/// Reads the body of a request; an error is the response to send.
pub async fn read_bytes(body: RequestBody) -> Result<Bytes, WebResponse> {
    receive_body(body, &WebLimits::default())
        .await
        .map_err(|fault| text_response(StatusCode::BAD_REQUEST, &fault.to_string()))
}

/// Reads the body of a request as JSON; an error is the response to send.
pub async fn read_json<T: DeserializeOwned>(body: RequestBody) -> Result<T, WebResponse> {
    let bytes = read_bytes(body).await?;
    serde_json::from_slice(&bytes)
        .map_err(|fault| text_response(StatusCode::BAD_REQUEST, &fault.to_string()))
}

/// Response for an unknown path.
pub fn unknown_path() -> WebResponse {
    text_response(StatusCode::NOT_FOUND, "no such path")
}
