//! Statuses of final responses.

use crate::AnswerFault;

/// Status of a final response.
///
/// RFC 9110 defines statuses from 100 to 599, and has clients treat any other response as invalid.
/// Those below 200 precede a final response, or switch to a protocol that no request here asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalStatus(u16);

impl FinalStatus {
    /// Success without content.
    pub const NO_CONTENT: Self = Self(204);
    /// Answer to a condition; its headers describe content that it doesn't have.
    pub const NOT_MODIFIED: Self = Self(304);

    /// Code of the status.
    pub fn code(self) -> u16 {
        self.0
    }

    /// Whether its responses end with their head, whatever the head announces.
    pub fn is_contentless(self) -> bool {
        matches!(self, Self::NO_CONTENT | Self::NOT_MODIFIED)
    }
}

impl TryFrom<u16> for FinalStatus {
    type Error = AnswerFault;

    fn try_from(code: u16) -> Result<Self, AnswerFault> {
        match code {
            200..=599 => Ok(Self(code)),
            _ => Err(AnswerFault::InvalidStatus),
        }
    }
}
