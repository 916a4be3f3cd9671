//! Responses that the node itself makes.

use base::prelude::*;
use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};
use net::web::{WebResponse, text_response};
use relay::{Refusal, RefusalReason};

use crate::RejectReason;

/// Retry delay for clients of a node whose buffers are full.
const NO_MEMORY_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Retry delay for clients of a node that has just started.
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Retry delay for clients of a node that waits for a newer configuration.
const CONFIG_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Response to a request that is rejected before it is sent to any server.
pub(super) fn rejection_response(reason: RejectReason) -> WebResponse {
    match reason {
        RejectReason::NoIntent => {
            let response = text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "this node has no configuration yet; try again",
            );
            with_retry_after(response, STARTUP_RETRY_DELAY)
        }
        RejectReason::OutdatedConfig => {
            let response = text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "this node waits for a newer configuration; the request was not run, try again",
            );
            with_retry_after(response, CONFIG_RETRY_DELAY)
        }
        RejectReason::NoRoute => {
            text_response(StatusCode::NOT_FOUND, "no route for this host and path")
        }
        RejectReason::Quarantined { retry_after } => {
            let response = text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "the request or a part of its prompt has crashed several servers; it was not run",
            );
            with_retry_after(response, retry_after)
        }
        RejectReason::Denied => {
            text_response(StatusCode::UNAUTHORIZED, "the key is missing or unknown")
        }
    }
}

/// Response to a request whose body this node has no memory for.
pub(super) fn no_memory_response() -> WebResponse {
    let response = text_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "this node has no memory for the request; it was not run",
    );
    with_retry_after(response, NO_MEMORY_RETRY_DELAY)
}

/// Response to a request that is refused another attempt.
pub(super) fn refusal_response(refusal: &Refusal) -> WebResponse {
    match (refusal.may_have_run, refusal.reason) {
        (true, RefusalReason::DeadlinePassed) => timeout_response(),
        (true, _) => text_response(StatusCode::BAD_GATEWAY, "the server's answer was lost"),
        (false, _) => {
            let response = text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "no server could take the request; it was not run",
            );
            match refusal.retry_after {
                Some(delay) => with_retry_after(response, delay),
                None => response,
            }
        }
    }
}

/// Response to a request whose deadline passed at a server.
pub(super) fn timeout_response() -> WebResponse {
    text_response(StatusCode::GATEWAY_TIMEOUT, "no answer came in time")
}

fn with_retry_after(mut response: WebResponse, delay: Duration) -> WebResponse {
    let seconds = format!("{:.2}", delay.as_secs_f64());
    match HeaderValue::from_str(&seconds) {
        Ok(value) => {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        Err(error) => log::error!("retry-after header not set: {error}"),
    }
    response
}
