//! Responses that the node itself makes.

use base::prelude::*;
use exchange::{NotRunProof, RunCertainty};
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
pub(super) fn rejection_response(reason: RejectReason, proof: NotRunProof) -> WebResponse {
    match reason {
        RejectReason::NoIntent => not_run_response(
            "this node has no configuration yet; try again",
            Some(STARTUP_RETRY_DELAY),
            proof,
        ),
        RejectReason::UnknownEvacuations => not_run_response(
            "this node has just started and knows no server that it may use; try again",
            Some(STARTUP_RETRY_DELAY),
            proof,
        ),
        RejectReason::OutdatedConfig => not_run_response(
            "this node waits for a newer configuration; the request was not run, try again",
            Some(CONFIG_RETRY_DELAY),
            proof,
        ),
        RejectReason::NoRoute => {
            text_response(StatusCode::NOT_FOUND, "no route for this host and path")
        }
        RejectReason::Quarantined { retry_after } => not_run_response(
            "the request or a part of its prompt has crashed several servers; it was not run",
            Some(retry_after),
            proof,
        ),
        RejectReason::UnsendableWorkspace => not_run_response(
            "servers can't be sent the name of the key's workspace; the request was not run",
            None,
            proof,
        ),
        RejectReason::Denied => {
            text_response(StatusCode::UNAUTHORIZED, "the key is missing or unknown")
        }
    }
}

/// Response to a request whose body this node has no memory for.
pub(super) fn no_memory_response(proof: NotRunProof) -> WebResponse {
    not_run_response(
        "this node has no memory for the request; it was not run",
        Some(NO_MEMORY_RETRY_DELAY),
        proof,
    )
}

/// Response to a request that the event loop didn't accept before it ended.
pub(super) fn stopped_response(proof: NotRunProof) -> WebResponse {
    not_run_response("this node is about to end", None, proof)
}

/// Response to a request that is refused another attempt.
pub(super) fn refusal_response(refusal: &Refusal) -> WebResponse {
    match (refusal.run, refusal.reason) {
        (RunCertainty::MayHaveRun, RefusalReason::DeadlinePassed) => timeout_response(),
        (RunCertainty::MayHaveRun, _) => {
            text_response(StatusCode::BAD_GATEWAY, "the server's answer was lost")
        }
        (RunCertainty::NotRun(proof), _) => not_run_response(
            "no server could take the request; it was not run",
            refusal.retry_after,
            proof,
        ),
    }
}

/// Response to a request that was not run; no other function here makes one that says so.
fn not_run_response(text: &str, retry_after: Option<Duration>, _: NotRunProof) -> WebResponse {
    let response = text_response(StatusCode::SERVICE_UNAVAILABLE, text);
    match retry_after {
        Some(delay) => with_retry_after(response, delay),
        None => response,
    }
}

/// Response in place of a server's own, which has a status that tells clients that the request was
/// not run, though the server doesn't report that.
pub(super) fn unproven_response() -> WebResponse {
    text_response(
        StatusCode::BAD_GATEWAY,
        "the server failed without saying whether it ran the request",
    )
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
