//! TCP stream whose reads are paced, and bounded where they make no progress.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use monoio::io::IntoPollIo;
use monoio::io::poll_io::{AsyncRead, AsyncWrite, ReadBuf};
use monoio::net::TcpStream;
use monoio::net::tcp::stream_poll::TcpStreamPoll;
use monoio::time::{Sleep, sleep};

use crate::budget::{HeldBytes, LoopBudget};

/// Bytes that a connection may read in a turn whatever the others read.
const OWN_TURN_BYTES: usize = 4 * 1_024;
/// Bytes of one read.
const MAX_READ_BYTES: usize = 8 * 1_024;
/// Wait for the next turn: the shortest that timers of the runtime can tell apart.
const TURN_PAUSE: Duration = Duration::from_millis(1);

/// Error of a connection that received too many bytes without progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum MeterError {
    #[error("{limit} bytes received that hold no part of a message: the peer's server is faulty")]
    NoProgress { limit: usize },
    #[error("the buffers of all connections are full: wait until requests have ended")]
    NoMemory,
}

/// Counts the bytes that a connection has received since its reader made progress.
///
/// Interim responses, chunk sizes and the like are consumed without reaching the reader, so limits
/// on messages don't bound them.
#[derive(Clone, Debug)]
pub(crate) struct ReadMeter {
    pending: Rc<RefCell<HeldBytes>>,
    limit: usize,
}

impl ReadMeter {
    /// Creates a meter that fails reads once `limit` bytes have arrived without progress.
    pub fn new(limit: usize) -> Self {
        Self {
            pending: Rc::default(),
            limit,
        }
    }

    /// Records that a message, or a part of one, has reached its reader.
    pub fn record_progress(&self) {
        self.pending.borrow_mut().resize(0);
    }

    fn record_read(&self, bytes: usize) -> Result<(), MeterError> {
        let mut pending = self.pending.borrow_mut();
        let total = pending.bytes() + bytes;
        if total > self.limit {
            return Err(MeterError::NoProgress { limit: self.limit });
        }
        if !pending.try_resize(total) {
            return Err(MeterError::NoMemory);
        }
        Ok(())
    }
}

/// TCP stream that reads a bounded number of bytes in one turn of the event loop.
#[derive(Debug)]
pub(crate) struct PacedStream {
    stream: TcpStreamPoll,
    meter: ReadMeter,
    budget: Rc<LoopBudget>,
    /// Bytes read since the socket was last empty.
    turn_bytes: usize,
    /// Wait for the next turn, and the number of the present one.
    pause: Option<(Pin<Box<Sleep>>, u64)>,
}

impl PacedStream {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream, meter: ReadMeter) -> io::Result<Self> {
        Ok(Self {
            stream: stream.into_poll_io()?,
            meter,
            budget: LoopBudget::current(),
            turn_bytes: 0,
            pause: None,
        })
    }

    /// Waits for the next turn if this one's bytes are used up.
    fn poll_turn(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let is_used_up = self.turn_bytes >= OWN_TURN_BYTES && !self.budget.has_turn_bytes();
        if is_used_up && self.pause.is_none() {
            // A task that woke itself would keep the loop from running its timers.
            self.pause = Some((Box::pin(sleep(TURN_PAUSE)), self.budget.turn()));
        }
        if let Some((pause, turn)) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
            self.budget.end_turn(*turn);
            self.pause = None;
            self.turn_bytes = 0;
        }
        Poll::Ready(())
    }

    fn poll_some(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        let stream = Pin::new(&mut self.stream);
        if buffer.remaining() <= MAX_READ_BYTES {
            let before = buffer.filled().len();
            ready!(stream.poll_read(context, buffer))?;
            return Poll::Ready(Ok(buffer.filled().len() - before));
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(MAX_READ_BYTES));
        ready!(stream.poll_read(context, &mut part))?;
        let read = part.filled().len();
        buffer.advance(read);
        Poll::Ready(Ok(read))
    }
}

impl AsyncRead for PacedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_turn(context));
        match self.poll_some(context, buffer) {
            Poll::Pending => {
                self.turn_bytes = 0;
                Poll::Pending
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Ready(Ok(read)) => {
                if self.turn_bytes >= OWN_TURN_BYTES {
                    self.budget.take_turn_bytes(read);
                }
                self.turn_bytes += read;
                let recorded = self.meter.record_read(read);
                Poll::Ready(recorded.map_err(io::Error::other))
            }
        }
    }
}

impl AsyncWrite for PacedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
