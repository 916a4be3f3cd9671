//! The page that tells the platform whether this node is ready.

use futures_util::future::LocalBoxFuture;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use net::web::{WebReply, WebService, text_reply};

use super::EdgeDesk;
use crate::{EdgeAnswer, EdgeQuestion};

/// Service of the readiness address.
#[derive(Clone)]
pub(super) struct ReadyPage {
    pub desk: EdgeDesk,
}

impl WebService for ReadyPage {
    fn answer(&self, _request: Request<Incoming>) -> LocalBoxFuture<'static, WebReply> {
        let desk = self.desk.clone();
        Box::pin(async move {
            match desk.ask(EdgeQuestion::Status).await {
                Some(EdgeAnswer::Status(status)) if status.is_ready => {
                    text_reply(StatusCode::OK, "ready")
                }
                _ => text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            }
        })
    }
}
