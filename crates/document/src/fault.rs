//! Positions in a section's text and faults found there.

use std::fmt;

use serde_saphyr::Location;

use crate::DocumentError;

/// Position in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TextPosition {
    /// Line, counted from one.
    pub line: u64,
    /// Column in characters, counted from one.
    pub column: u64,
}

impl TextPosition {
    /// First character of a text.
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

/// Fault in a section with its position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{position}: {error}")]
pub struct SectionFault {
    /// Position in the section's text.
    pub position: TextPosition,
    /// Description of the fault.
    pub error: DocumentError,
}

impl SectionFault {
    pub(crate) fn new(position: impl Into<TextPosition>, error: DocumentError) -> Self {
        Self {
            position: position.into(),
            error,
        }
    }
}
