//! Bodies, whole or streamed.

use std::future::poll_fn;
use std::mem::replace;
use std::task::Poll;

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::{SinkExt, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;

/// Chunks that a slow reader may leave waiting.
const CHUNK_BACKLOG: usize = 64;

/// Reason why a streamed body ends before its end.
///
/// The server closes the connection without the final chunk, so that no client
/// can take what it has for the whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body was cut before its end")]
pub struct BodyError;

/// Body of a request or an answer.
pub type WebBody = UnsyncBoxBody<Bytes, BodyError>;

/// Writer's end of a streamed body.
#[derive(Debug)]
pub struct BodySender {
    chunks: mpsc::Sender<Result<Bytes, BodyError>>,
    reader: oneshot::Receiver<()>,
}

/// Streamed body and its writer.
pub fn body_channel() -> (BodySender, WebBody) {
    let (chunks, receiver) = mpsc::channel(CHUNK_BACKLOG);
    let (guard, reader) = oneshot::channel::<()>();
    let frames = receiver.then(move |chunk| {
        // The guard lives as long as the body and tells when it is dropped.
        let _guard = &guard;
        frame_of(chunk)
    });
    let sender = BodySender { chunks, reader };
    (sender, StreamBody::new(frames).boxed_unsync())
}

/// Frame of one chunk.
///
/// A cut waits for one turn, in which the server writes out what came before it.
async fn frame_of(chunk: Result<Bytes, BodyError>) -> Result<Frame<Bytes>, BodyError> {
    if chunk.is_err() {
        wait_one_turn().await;
    }
    chunk.map(Frame::data)
}

async fn wait_one_turn() {
    let mut waited = false;
    let turn = poll_fn(|context| {
        if replace(&mut waited, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    });
    turn.await;
}

/// Body that is known whole.
pub fn full_body(bytes: impl Into<Bytes>) -> WebBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Body without bytes.
pub fn empty_body() -> WebBody {
    full_body(Bytes::new())
}

impl BodySender {
    /// Sends one chunk; waits while the reader is behind.
    ///
    /// Fails once the reader is gone.
    pub async fn send(&mut self, chunk: Bytes) -> Result<(), BodyError> {
        self.chunks.send(Ok(chunk)).await.map_err(|_| BodyError)
    }

    /// Waits until the reader is gone.
    pub async fn closed(&mut self) {
        // The guard is never sent through, so only its end shows.
        let _ = (&mut self.reader).await;
    }

    /// Cuts the body so that the reader knows that it is not whole.
    pub async fn abort(mut self) {
        // A reader that is gone needs no telling.
        let _ = self.chunks.send(Err(BodyError)).await;
    }
}
