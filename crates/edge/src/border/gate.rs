//! Check of a repetition at the moment at which it could be sent.

use futures_util::future::LocalBoxFuture;
use net::web::SendGate;
use relay::AttemptId;

use super::EdgeReplies;
use crate::{EdgeQuestion, EdgeReply};

/// Asks the event loop whether an attempt may still be sent.
///
/// A version of the configuration that has come into force since the attempt was decided on may let
/// the request run once only.
pub(super) struct RepeatGate {
    pub replies: EdgeReplies,
    pub attempt: AttemptId,
}

impl SendGate for RepeatGate {
    fn may_send(&self) -> LocalBoxFuture<'_, bool> {
        Box::pin(async {
            let question = EdgeQuestion::MaySend(self.attempt);
            let reply = self.replies.request(question).await;
            matches!(reply, Some(EdgeReply::MaySend(true)))
        })
    }
}
