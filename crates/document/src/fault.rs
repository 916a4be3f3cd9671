//! Places in a section's text and the faults found there.

use std::fmt;

use serde_saphyr::Location;

use crate::DocumentError;

/// Line and column, both counted from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TextPosition {
    /// Line.
    pub line: u64,
    /// Column in characters.
    pub column: u64,
}

impl TextPosition {
    /// Beginning of a text.
    pub const START: Self = Self { line: 1, column: 1 };
}

impl From<Location> for TextPosition {
    fn from(location: Location) -> Self {
        Self {
            line: location.line(),
            column: location.column(),
        }
    }
}

impl fmt::Display for TextPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

/// Fault in a section and where it is.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {error}")]
pub struct SectionFault {
    /// Where it is.
    pub place: TextPosition,
    /// What is wrong.
    pub error: DocumentError,
}

impl SectionFault {
    pub(crate) fn new(place: impl Into<TextPosition>, error: DocumentError) -> Self {
        Self {
            place: place.into(),
            error,
        }
    }
}
