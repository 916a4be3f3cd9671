//! The document itself: sections with their owners and revisions.

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;

use crate::SectionDigest;

/// Edits that a section remembers.
pub const EDIT_LIMIT: usize = 16;

/// All sections, kept as one object.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    /// Sections by name.
    pub sections: BTreeMap<SectionName, Section>,
    /// Entries that are no sections; kept so that edits of others don't lose them.
    pub unreadable: BTreeMap<SectionName, UnreadableSection>,
}

/// Entry of the document that is no section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableSection {
    /// Encoded entry as it was found.
    pub encoded: Arc<str>,
    /// Why it is no section.
    pub reason: Arc<str>,
}

/// Text that one team maintains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Team that may edit it.
    pub owner: TeamName,
    /// Edits so far.
    pub revision: SectionRevision,
    /// YAML text.
    pub text: Arc<str>,
    /// Latest edits, the newest last.
    pub edits: VecDeque<EditRecord>,
}

/// Trace of one edit, by which its writer finds it again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditRecord {
    /// Revision that it made.
    pub revision: SectionRevision,
    /// Mark of its writer.
    pub nonce: WriteNonce,
}

impl Section {
    /// Digest of the text.
    pub fn digest(&self) -> SectionDigest {
        SectionDigest::of_text(&self.text)
    }
}
