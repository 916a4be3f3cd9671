//! Errors of decoding a frame.

use base::prelude::*;

/// Error of decoding a frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame is too large.
    #[error("peer frame too large: {length} bytes, at most {limit} allowed")]
    Large {
        /// Length in bytes.
        length: usize,
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The bytes can't be decoded.
    #[error(
        "peer frame can't be decoded ({message}): check that the peer runs a compatible version"
    )]
    Syntax {
        /// Message of the decoder.
        message: String,
    },
    /// The frame contains no known message.
    #[error("peer frame with an unknown type of message: update this node")]
    UnknownMessage,
    /// A list is too long.
    #[error("list in a peer frame too long: {length} elements, at most {limit} allowed")]
    LongList {
        /// Number of elements.
        length: usize,
        /// Maximum number of elements.
        limit: usize,
    },
    /// A required field is missing, or a field is out of range.
    #[error("field '{field}' of a peer frame is missing or out of range")]
    Field {
        /// Name of the field.
        field: &'static str,
    },
    /// A name is invalid.
    #[error(transparent)]
    Name(#[from] NameError),
}
