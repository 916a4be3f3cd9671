//! Encoding of frames with Protocol Buffers, without the length prefix.
//!
//! `message` defines the encoded messages, `convert` converts them from and to
//! the model. Unknown fields, which a newer version may add, are ignored; an
//! unknown message is refused, and so is a value that is too large or out of
//! range.

mod convert;
mod message;

use prost::Message;

use crate::{FrameError, PeerFrame};
use message::FrameWire;

/// Maximum length of an encoded frame in bytes.
pub const FRAME_LIMIT: usize = 1_200_000;

/// Encodes a frame.
pub fn encode_frame(frame: PeerFrame) -> Vec<u8> {
    FrameWire::from(frame).encode_to_vec()
}

/// Decodes a frame and checks its limits.
pub fn decode_frame(bytes: &[u8]) -> Result<PeerFrame, FrameError> {
    if bytes.len() > FRAME_LIMIT {
        return Err(FrameError::Large {
            length: bytes.len(),
            limit: FRAME_LIMIT,
        });
    }
    let wire = FrameWire::decode(bytes).map_err(|error| FrameError::Syntax {
        message: error.to_string(),
    })?;
    PeerFrame::try_from(wire)
}
