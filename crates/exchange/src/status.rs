//! Statuses of final responses.

use crate::AnswerFault;

/// Status of a final response.
///
/// RFC 9110 defines statuses from 100 to 599, and has clients treat any other response as invalid.
/// Those below 200 precede a final response, or switch to a protocol that no request here asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalStatus(u16);

impl FinalStatus {
    /// Code of the status.
    pub fn code(self) -> u16 {
        self.0
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
