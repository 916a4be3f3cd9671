//! Responses with a short body.

use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use super::body::{WebBody, full_body};

/// Response of a [`super::WebService`].
pub type WebResponse = Response<WebBody>;

/// Creates a response with a JSON body.
///
/// # Panics
///
/// If the value cannot be encoded as JSON, which does not happen for wire types.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> WebResponse {
    let bytes = serde_json::to_vec(value).expect("wire types can be encoded as JSON");
    typed_response(status, "application/json", bytes)
}

/// Creates a response with a plain-text body.
pub fn text_response(status: StatusCode, text: &str) -> WebResponse {
    typed_response(
        status,
        "text/plain; charset=utf-8",
        text.as_bytes().to_vec(),
    )
}

fn typed_response(status: StatusCode, content_type: &'static str, bytes: Vec<u8>) -> WebResponse {
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
