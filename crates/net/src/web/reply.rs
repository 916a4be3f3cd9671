//! Short answers.

use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use super::body::{WebBody, full_body};

/// Answer of a [`super::WebService`].
pub type WebResponse = Response<WebBody>;

/// Answer in JSON.
///
/// # Panics
///
/// If the value has no JSON form, which wire types always have.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> WebResponse {
    let bytes = serde_json::to_vec(value).expect("wire types have a JSON form");
    typed_reply(status, "application/json", bytes)
}

/// Answer in plain text.
pub fn text_response(status: StatusCode, text: &str) -> WebResponse {
    typed_reply(
        status,
        "text/plain; charset=utf-8",
        text.as_bytes().to_vec(),
    )
}

fn typed_reply(status: StatusCode, kind: &'static str, bytes: Vec<u8>) -> WebResponse {
    let mut reply = Response::new(full_body(bytes));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}
