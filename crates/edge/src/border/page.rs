//! The page that tells the platform whether this node is ready.

use futures_util::future::LocalBoxFuture;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use net::web::{WebResponse, WebService, text_response};

use super::EdgeReplies;
use crate::{EdgeAnswer, EdgeQuestion};

/// Service of the readiness address.
#[derive(Clone)]
pub(super) struct ReadyPage {
    pub replies: EdgeReplies,
}

impl WebService for ReadyPage {
    fn answer(&self, _request: Request<Incoming>) -> LocalBoxFuture<'static, WebResponse> {
        let replies = self.replies.clone();
        Box::pin(async move {
            match replies.request(EdgeQuestion::Status).await {
                Some(EdgeAnswer::Status(status)) if status.is_ready => {
                    text_response(StatusCode::OK, "ready")
                }
                _ => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            }
        })
    }
}
