//! Bytes of a frame's body; the framing itself is done elsewhere.
//!
//! `message` holds the encoded forms, `convert` their way from and to the
//! model. Fields that a newer node adds are passed over; a message that is not
//! known at all is refused, and so is whatever is too large or out of range.

mod convert;
mod message;

use prost::Message;

use crate::{FrameError, PeerFrame};
use message::FrameWire;

/// Longest frame body in bytes.
pub const FRAME_LIMIT: usize = 1_200_000;

/// Encodes the body of a frame.
pub fn encode_frame(frame: PeerFrame) -> Vec<u8> {
    FrameWire::from(frame).encode_to_vec()
}

/// Decodes the body of a frame.
pub fn decode_frame(bytes: &[u8]) -> Result<PeerFrame, FrameError> {
    if bytes.len() > FRAME_LIMIT {
        return Err(FrameError::Large {
            length: bytes.len(),
            limit: FRAME_LIMIT,
        });
    }
    let wire = FrameWire::decode(bytes).map_err(|fault| FrameError::Syntax {
        message: fault.to_string(),
    })?;
    PeerFrame::try_from(wire)
}
