//! Readiness check of the platform.

use futures_util::future::LocalBoxFuture;
use http::{Request, StatusCode};
use net::web::RequestBody;
use net::web::{WebResponse, WebService, text_response};

use super::EdgeReplies;
use crate::{EdgeQuestion, EdgeReply};

/// Service of the listener for readiness checks.
#[derive(Clone)]
pub(super) struct ReadinessService {
    pub replies: EdgeReplies,
}

impl WebService for ReadinessService {
    fn answer(&self, _request: Request<RequestBody>) -> LocalBoxFuture<'static, WebResponse> {
        let replies = self.replies.clone();
        Box::pin(async move {
            match replies.request(EdgeQuestion::Status).await {
                Some(EdgeReply::Status(status)) if status.is_ready => {
                    text_response(StatusCode::OK, "ready")
                }
                _ => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            }
        })
    }
}
