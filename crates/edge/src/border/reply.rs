//! Answers of the node's own.

use base::prelude::*;
use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};
use net::web::{WebResponse, text_response};
use relay::{Refusal, RefusalReason};

use crate::RejectReason;

/// Time after which a client may come back to a node that has just started.
const START_PAUSE: Duration = Duration::from_millis(300);

/// Answer to a request that is turned away before any server heard of it.
pub(super) fn reject_reply(reason: RejectReason) -> WebResponse {
    match reason {
        RejectReason::NoIntent => {
            let reply = text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "this node has no configuration yet; try again",
            );
            with_pause(reply, START_PAUSE)
        }
        RejectReason::NoRoute => {
            text_response(StatusCode::NOT_FOUND, "no route for this host and path")
        }
        RejectReason::Denied => {
            text_response(StatusCode::UNAUTHORIZED, "the key is missing or unknown")
        }
    }
}

/// Answer to a request that is given up.
pub(super) fn refusal_reply(refusal: &Refusal) -> WebResponse {
    match (refusal.may_have_run, refusal.reason) {
        (true, RefusalReason::DeadlinePassed) => timeout_reply(),
        (true, _) => text_response(StatusCode::BAD_GATEWAY, "the server's answer was lost"),
        (false, _) => {
            let reply = text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "no server could take the request; it was not run",
            );
            match refusal.retry_after {
                Some(pause) => with_pause(reply, pause),
                None => reply,
            }
        }
    }
}

/// Answer to a request whose time ran out at a server.
pub(super) fn timeout_reply() -> WebResponse {
    text_response(StatusCode::GATEWAY_TIMEOUT, "no answer came in time")
}

fn with_pause(mut reply: WebResponse, pause: Duration) -> WebResponse {
    let seconds = format!("{:.2}", pause.as_secs_f64());
    match HeaderValue::from_str(&seconds) {
        Ok(value) => {
            reply.headers_mut().insert(RETRY_AFTER, value);
        }
        Err(fault) => log::error!("a pause could not be told: {fault}"),
    }
    reply
}
