//! HTTP bodies, complete or streamed.

use std::future::poll_fn;
use std::mem::replace;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use futures_channel::{mpsc, oneshot};
use futures_util::{SinkExt, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::HeldBytes;
use crate::paced::ReadMeter;

/// Chunks buffered for a slow reader.
const MAX_BUFFERED_CHUNKS: usize = 64;
/// Size of a buffered chunk; larger ones are split.
const MAX_CHUNK_BYTES: usize = 2 * 1_024;
/// Bytes that a body may buffer even if the buffers of all bodies are full.
const MIN_BUFFERED_BYTES: usize = 8 * 1_024;
/// Size from which a complete body counts as held memory until it is dropped.
const MIN_HELD_BODY_BYTES: usize = 4 * 1_024;

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
    chunks: mpsc::Sender<Result<QueuedChunk, BodyError>>,
    reader: oneshot::Receiver<()>,
    /// Bytes in the buffer.
    queued: Arc<AtomicUsize>,
}

/// Chunk in the buffer of a streamed body.
#[derive(Debug)]
struct QueuedChunk {
    bytes: Bytes,
    /// Bytes in the buffer, this chunk's included.
    queued: Arc<AtomicUsize>,
    _held: HeldBytes,
}

impl Drop for QueuedChunk {
    fn drop(&mut self) {
        self.queued.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
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
    let sender = BodySender {
        chunks,
        reader,
        queued: Arc::default(),
    };
    (sender, StreamBody::new(frames).boxed_unsync())
}

/// Converts a chunk into a frame.
///
/// An abort first yields once, so that the server can write out the chunks
/// before it.
async fn to_frame(chunk: Result<QueuedChunk, BodyError>) -> Result<Frame<Bytes>, BodyError> {
    if chunk.is_err() {
        yield_once().await;
    }
    chunk.map(|chunk| Frame::data(chunk.bytes.clone()))
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
    /// Fails once the body has been dropped. If the reader is slow while the buffers of all bodies
    /// are full, it aborts the body and fails.
    pub async fn send(&mut self, mut chunk: Bytes) -> Result<(), BodyError> {
        while !chunk.is_empty() {
            let bytes = chunk.split_to(chunk.len().min(MAX_CHUNK_BYTES));
            let chunk = self.queue_chunk(bytes);
            let has_room = chunk.is_ok();
            self.chunks.send(chunk).await.map_err(|_| BodyError)?;
            if !has_room {
                return Err(BodyError);
            }
        }
        Ok(())
    }

    fn queue_chunk(&self, bytes: Bytes) -> Result<QueuedChunk, BodyError> {
        let queued = self.queued.load(Ordering::Relaxed) + bytes.len();
        let mut held = HeldBytes::default();
        if queued <= MIN_BUFFERED_BYTES {
            held.resize(bytes.len());
        } else if !held.try_resize(bytes.len()) {
            log::warn!("streamed body aborted: its reader is slow and all buffers are full");
            return Err(BodyError);
        }
        self.queued.store(queued, Ordering::Relaxed);
        Ok(QueuedChunk {
            bytes,
            queued: self.queued.clone(),
            _held: held,
        })
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

/// Body that is being received on a metered connection.
#[derive(Debug)]
pub struct MeteredBody<B> {
    body: B,
    meter: ReadMeter,
}

/// Body of a request that is being received.
pub type RequestBody = MeteredBody<Incoming>;

impl<B> MeteredBody<B> {
    pub(super) fn new(body: B, meter: ReadMeter) -> Self {
        Self { body, meter }
    }
}

impl<B: Body + Unpin> Body for MeteredBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        self.meter.record_progress();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Why a body could not be collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum CollectError {
    /// It exceeds its size limit.
    #[error("the body is larger than the limit")]
    TooLarge,
    /// The buffers of all bodies are full.
    #[error("the buffers of all connections are full: wait until requests have ended")]
    NoMemory,
    /// The connection failed.
    #[error("the connection failed within the body")]
    Broken,
}

/// Reads a body into one buffer, however small the chunks are that it arrives in.
pub(super) async fn collect_body<B>(body: &mut B, limit: usize) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buffer = BytesMut::new();
    let mut held = HeldBytes::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CollectError::Broken)?;
        // Trailers are not used.
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if buffer.len() + chunk.len() > limit {
            return Err(CollectError::TooLarge);
        }
        buffer.extend_from_slice(&chunk);
        if buffer.capacity() > held.bytes() && !held.try_resize(buffer.capacity()) {
            return Err(CollectError::NoMemory);
        }
    }
    if buffer.len() < MIN_HELD_BODY_BYTES {
        return Ok(Bytes::copy_from_slice(&buffer));
    }
    Ok(Bytes::from_owner(HeldBody {
        buffer,
        _held: held,
    }))
}

/// Complete body, which counts as held memory until its last copy is dropped.
struct HeldBody {
    buffer: BytesMut,
    _held: HeldBytes,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}
