//! Server-sent events of a streamed answer.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde::de::IgnoredAny;

/// End of one event.
const EVENT_END: &[u8] = b"\n\n";
/// Largest event in bytes; a longer one is a broken stream.
pub const EVENT_LIMIT: usize = 1_024 * 1_024;

/// Cuts a stream of bytes into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Takes in the next bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Next whole event, with its end.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let found = self.buffer[self.searched..]
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END);
        match found {
            Some(at) => {
                let end = self.searched + at + EVENT_END.len();
                self.searched = 0;
                Some(self.buffer.split_to(end).freeze())
            }
            None => {
                self.searched = self.buffer.len().saturating_sub(EVENT_END.len() - 1);
                None
            }
        }
    }

    /// Bytes of the event that is not whole yet.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }
}

/// What an event means for the stream it is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// Carries a token.
    Token,
    /// Ends the stream: the answer is whole.
    Done,
    /// Anything else.
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

/// Tells what an event means.
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
    let open = chunk
        .choices
        .iter()
        .any(|choice| choice.finish_reason.is_none());
    if open {
        EventKind::Token
    } else {
        EventKind::Other
    }
}
