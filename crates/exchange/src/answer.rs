//! Answers that belong to their requests.

use crate::NotRunProof;

/// What the head of an answer says.
#[derive(Clone, Copy, Debug)]
pub struct AnswerHead<'a> {
    /// Status, which may be none of a final response.
    pub status: u16,
    /// Tag that it carries.
    pub tag: Option<&'a str>,
    /// Whether it announces content.
    pub announces_content: bool,
}

/// Answer that belongs to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnAnswer {
    /// Whether it carries the tag of the request.
    pub(crate) is_named: bool,
    /// Whether only an answer with the tag is relied on for a report that nothing was run.
    pub(crate) must_be_named: bool,
}

impl OwnAnswer {
    /// Whether it carries the tag of the request.
    pub fn is_named(self) -> bool {
        self.is_named
    }

    /// Proof that the request was not run, if the answer reports that.
    ///
    /// Servers repeat tags. The report of one that leaves it out is not relied on.
    pub fn not_run(self, is_reported: bool) -> Option<NotRunProof> {
        let is_reliable = self.is_named || !self.must_be_named;
        (is_reported && is_reliable).then(NotRunProof::new)
    }
}

/// Why an answer is not the one to the request under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// Its bytes are no response.
    Malformed,
    /// Its status is none of a final response.
    InvalidStatus,
    /// It announces content, which its status rules out.
    UnexpectedContent,
    /// It carries another request's tag.
    OtherTag,
    /// It carries no tag, and the connection has carried other requests.
    Untagged,
}

impl AnswerFault {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::InvalidStatus => "invalid-status",
            Self::UnexpectedContent => "unexpected-content",
            Self::OtherTag => "other-tag",
            Self::Untagged => "untagged",
        }
    }
}
