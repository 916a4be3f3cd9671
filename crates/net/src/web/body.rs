//! HTTP bodies, complete or streamed.

use std::future::poll_fn;
use std::mem::replace;
use std::task::Poll;

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::{SinkExt, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;

/// Chunks buffered for a slow reader.
const MAX_BUFFERED_CHUNKS: usize = 64;

/// Error that aborts a streamed body.
///
/// The server closes the connection without the final chunk, so that no client
/// can mistake a partial body for a complete one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body was aborted before its end")]
pub struct BodyError;

/// Body of a request or a response.
pub type WebBody = UnsyncBoxBody<Bytes, BodyError>;

/// Sending half of a streamed body.
#[derive(Debug)]
pub struct BodySender {
    chunks: mpsc::Sender<Result<Bytes, BodyError>>,
    reader: oneshot::Receiver<()>,
}

/// Creates a streamed body and its sending half.
pub fn body_channel() -> (BodySender, WebBody) {
    let (chunks, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let (guard, reader) = oneshot::channel::<()>();
    let frames = receiver.then(move |chunk| {
        // The guard is dropped with the body, which closes the `reader` channel.
        let _guard = &guard;
        to_frame(chunk)
    });
    let sender = BodySender { chunks, reader };
    (sender, StreamBody::new(frames).boxed_unsync())
}

/// Converts a chunk into a frame.
///
/// An abort first yields once, so that the server can write out the chunks
/// before it.
async fn to_frame(chunk: Result<Bytes, BodyError>) -> Result<Frame<Bytes>, BodyError> {
    if chunk.is_err() {
        yield_once().await;
    }
    chunk.map(Frame::data)
}

async fn yield_once() {
    let mut has_yielded = false;
    let yielded = poll_fn(|context| {
        if replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    });
    yielded.await;
}

/// Complete body of known content.
pub fn full_body(bytes: impl Into<Bytes>) -> WebBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Empty body.
pub fn empty_body() -> WebBody {
    full_body(Bytes::new())
}

impl BodySender {
    /// Sends one chunk; waits while the buffer is full.
    ///
    /// Fails once the body has been dropped.
    pub async fn send(&mut self, chunk: Bytes) -> Result<(), BodyError> {
        self.chunks.send(Ok(chunk)).await.map_err(|_| BodyError)
    }

    /// Waits until the body has been dropped.
    pub async fn closed(&mut self) {
        // Nothing is ever sent on this channel, so it completes only when the
        // guard is dropped.
        let _ = (&mut self.reader).await;
    }

    /// Aborts the body, so that the reader can tell that it is incomplete.
    pub async fn abort(mut self) {
        // Fails only if the body has been dropped already.
        let _ = self.chunks.send(Err(BodyError)).await;
    }
}
