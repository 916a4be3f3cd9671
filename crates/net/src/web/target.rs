//! Targets of requests.
//!
//! The path and the query of a request are built from parts. Names come from other writers and may
//! hold any characters, so each part is percent-encoded on its own. Blanks are `%20`, never `+`,
//! which not every server decodes.

use std::borrow::Cow;
use std::fmt;

use http::Uri;
use http::uri::InvalidUri;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, percent_encode};

/// Bytes that are encoded: all but the unreserved characters of RFC 3986.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Path and query of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTarget {
    text: String,
    has_query: bool,
}

impl RequestTarget {
    /// Creates a target with a fixed path.
    pub fn new(path: &'static str) -> Self {
        Self {
            text: path.to_owned(),
            has_query: false,
        }
    }

    /// Adds a segment to the path.
    pub fn segment(mut self, segment: &str) -> Self {
        debug_assert!(!self.has_query, "segments come before the query");
        self.text.push('/');
        self.push(segment.as_bytes());
        self
    }

    /// Adds a parameter to the query; its value may be any bytes.
    pub fn parameter(mut self, key: &str, value: impl AsRef<[u8]>) -> Self {
        self.text.push(if self.has_query { '&' } else { '?' });
        self.has_query = true;
        self.push(key.as_bytes());
        self.text.push('=');
        self.push(value.as_ref());
        self
    }

    fn push(&mut self, part: &[u8]) {
        self.text.extend(percent_encode(part, ENCODED));
    }

    /// Path and query as sent.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl fmt::Display for RequestTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl TryFrom<&RequestTarget> for Uri {
    type Error = InvalidUri;

    fn try_from(target: &RequestTarget) -> Result<Self, InvalidUri> {
        target.text.parse()
    }
}

/// Decodes a segment of a path; bytes that are not UTF-8 are replaced.
pub fn decode_segment(segment: &str) -> Cow<'_, str> {
    percent_decode_str(segment).decode_utf8_lossy()
}
