//! What can be wrong with the bytes of a frame.

use base::prelude::*;

/// Fault in a frame's bytes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame is too large.
    #[error("a peer frame has {length} bytes: send at most {limit}")]
    Large {
        /// Length in bytes.
        length: usize,
        /// Longest frame in bytes.
        limit: usize,
    },
    /// The bytes are no message.
    #[error("a peer frame can't be decoded ({message}): check that both nodes run this system")]
    Syntax {
        /// What the decoder found.
        message: String,
    },
    /// The frame holds no known message.
    #[error("a peer frame holds no message known here: update this node")]
    UnknownMessage,
    /// A list is too long.
    #[error("a list in a peer frame has {length} elements: send at most {limit}")]
    LongList {
        /// Elements in the list.
        length: usize,
        /// Most elements.
        limit: usize,
    },
    /// A field that must be there is missing or out of range.
    #[error("the field '{field}' of a peer frame is missing or out of range")]
    Field {
        /// Name of the field.
        field: &'static str,
    },
    /// A name is malformed.
    #[error(transparent)]
    Name(#[from] NameError),
}
