//! The document: sections with their owners and revisions.

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;

use crate::SectionDigest;

/// Number of latest edits that a section keeps.
pub const EDIT_LIMIT: usize = 16;

/// All sections; stored as one object.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    /// Sections by name.
    pub sections: BTreeMap<SectionName, Section>,
    /// Entries that can't be decoded as sections, by name.
    ///
    /// Kept unchanged, so that an edit of another section doesn't remove them.
    pub unreadable: BTreeMap<SectionName, UnreadableSection>,
    /// JSON of entries under names that no section can have; kept unchanged too.
    pub misnamed: BTreeMap<Arc<str>, Arc<str>>,
}

/// Entry of the document that can't be decoded as a section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableSection {
    /// JSON of the entry, unchanged.
    pub encoded: Arc<str>,
    /// Error of the decoder.
    pub reason: Arc<str>,
}

/// Part of the configuration that one team owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Team that may edit the section.
    pub owner: TeamName,
    /// Number of edits so far.
    pub revision: SectionRevision,
    /// YAML source.
    pub text: Arc<str>,
    /// Latest edits, oldest first; at most [`EDIT_LIMIT`].
    pub edits: VecDeque<EditRecord>,
}

/// Record of one edit, by which its writer can check whether it was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditRecord {
    /// Revision that the edit created.
    pub revision: SectionRevision,
    /// Nonce that the writer chose for the edit.
    pub nonce: WriteNonce,
}

impl Section {
    /// Digest of the section's text.
    pub fn digest(&self) -> SectionDigest {
        SectionDigest::of_text(&self.text)
    }
}
