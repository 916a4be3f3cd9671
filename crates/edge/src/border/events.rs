//! Splitting of streams into server-sent events.

use bytes::{Buf, Bytes, BytesMut};
use net::HeldBytes;

/// Largest event. A server that sends a longer one doesn't send events.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;
/// Size up to which an incomplete event is kept even if the buffers of all connections are full.
const MIN_HELD_BYTES: usize = 8 * 1_024;
/// Field with the number of an event.
const ID_FIELD: &[u8] = b"id:";

/// Buffer that splits a stream's bytes into complete events.
///
/// Only complete events are passed on, so a stream that breaks off within an event can
/// be resumed at another server after the last complete one.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    /// Bytes of the incomplete event in which no end was found.
    searched: usize,
    held: HeldBytes,
    last_id: Option<u64>,
}

/// Error of a stream whose event is longer than this node keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the event of {bytes} bytes has no end, or no buffer has room for it")]
pub struct EventTooLong {
    bytes: usize,
}

impl EventBuffer {
    /// Creates a buffer for a client that has received the events up to `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Number of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Appends bytes and returns the complete events that the client lacks.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        self.partial.extend_from_slice(bytes);
        let complete = match last_event_end(&self.partial, self.searched) {
            // A copy, so that the buffer of the incomplete event is used again.
            Some(end) => {
                let complete = Bytes::copy_from_slice(&self.partial[..end]);
                self.partial.advance(end);
                complete
            }
            None => Bytes::new(),
        };
        self.searched = self.partial.len();
        let is_short = self.partial.len() <= MIN_HELD_BYTES;
        if is_short {
            self.held.resize(self.partial.len());
        } else if self.partial.len() > MAX_EVENT_BYTES
            || !self.held.try_resize(self.partial.capacity())
        {
            return Err(EventTooLong {
                bytes: self.partial.len(),
            });
        }
        Ok(self.skip_received(complete))
    }

    /// Drops an incomplete event, whose server has failed.
    pub fn drop_partial(&mut self) {
        self.partial = BytesMut::new();
        self.searched = 0;
        self.held.resize(0);
    }

    /// Whether the bytes so far end inside an event; a stream that ends there was broken off.
    pub fn is_within_event(&self) -> bool {
        self.partial.iter().any(|byte| !b"\r\n".contains(byte))
    }

    /// Takes the line breaks after the last event of a stream that ended normally.
    pub fn take_rest(&mut self) -> Bytes {
        let rest = Bytes::copy_from_slice(&self.partial);
        self.drop_partial();
        rest
    }

    /// Removes events that the client has and records the number of the last event.
    fn skip_received(&mut self, complete: Bytes) -> Bytes {
        let mut start = 0;
        let mut position = 0;
        while position < complete.len() {
            let length = event_length(&complete[position..]);
            let id = event_id(&complete[position..position + length]);
            if let Some(id) = id {
                if self.last_id.is_some_and(|last| id <= last) {
                    start = position + length;
                } else {
                    self.last_id = Some(id);
                }
            }
            position += length;
        }
        complete.slice(start..)
    }
}

/// Whether bytes contain the end of an event.
pub(super) fn has_complete_event(bytes: &[u8]) -> bool {
    last_event_end(bytes, 0).is_some()
}

/// Length of the first of several complete events.
fn event_length(bytes: &[u8]) -> usize {
    first_event_end(bytes).unwrap_or(bytes.len())
}

fn first_event_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find_map(|position| end_at(bytes, position))
}

/// End of the last complete event; the first `searched` bytes are known to hold none.
fn last_event_end(bytes: &[u8], searched: usize) -> Option<usize> {
    (searched..bytes.len())
        .rev()
        .find_map(|position| end_at(bytes, position))
}

/// End of the event whose blank line ends at a position, if there is one.
fn end_at(bytes: &[u8], position: usize) -> Option<usize> {
    if bytes[position] != b'\n' || position == 0 {
        return None;
    }
    let before = &bytes[..position];
    let is_blank = before.ends_with(b"\n") || before.ends_with(b"\n\r");
    is_blank.then_some(position + 1)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|&byte| byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let id = ids.next_back()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
