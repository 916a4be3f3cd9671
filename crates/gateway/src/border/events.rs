//! Server-sent events of a streamed response.

use bytes::{Buf, Bytes, BytesMut};
use net::HeldBytes;
use serde::Deserialize;
use serde::de::IgnoredAny;

/// Terminator of an event.
const EVENT_TERMINATOR: &[u8] = b"\n\n";
/// Largest event, in bytes; a longer one ends the stream as lost.
pub const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
    held: HeldBytes,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Whether the incomplete event is longer than a gateway keeps, or no buffer has room for it.
    pub fn is_too_long(&mut self) -> bool {
        let pending = self.buffer.len();
        pending > MAX_EVENT_BYTES || !self.held.try_resize(pending)
    }

    /// Next complete event with its terminator; `None` until more bytes arrive.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let found = self.buffer[self.searched..]
            .windows(EVENT_TERMINATOR.len())
            .position(|window| window == EVENT_TERMINATOR);
        match found {
            Some(position) => {
                let end = self.searched + position + EVENT_TERMINATOR.len();
                self.searched = 0;
                // A copy, so that the buffer of the incomplete event is used again.
                let event = Bytes::copy_from_slice(&self.buffer[..end]);
                self.buffer.advance(end);
                Some(event)
            }
            None => {
                self.searched = self.buffer.len().saturating_sub(EVENT_TERMINATOR.len() - 1);
                None
            }
        }
    }
}

/// Role of an event in its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// Contains a token.
    Token,
    /// Marks the end of a complete response.
    Done,
    /// Any other event.
    Other,
}

#[derive(Deserialize)]
struct ChunkWire {
    #[serde(default)]
    choices: Vec<ChoiceWire>,
}

#[derive(Deserialize)]
struct ChoiceWire {
    finish_reason: Option<IgnoredAny>,
}

/// Determines the role of an event.
pub fn classify(event: &[u8]) -> EventKind {
    let Some(data) = event.strip_prefix(b"data:") else {
        return EventKind::Other;
    };
    let data = data.trim_ascii();
    if data == b"[DONE]" {
        return EventKind::Done;
    }
    let Ok(chunk) = serde_json::from_slice::<ChunkWire>(data) else {
        return EventKind::Other;
    };
    let is_unfinished = chunk
        .choices
        .iter()
        .any(|choice| choice.finish_reason.is_none());
    if is_unfinished {
        EventKind::Token
    } else {
        EventKind::Other
    }
}
