use base::prelude::*;

use crate::Document;

/// What a document tells about an edit whose reply was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditLookup {
    /// The edit took effect and made this revision.
    Applied(SectionRevision),
    /// The edit has not taken effect.
    NotApplied,
    /// More edits followed than the section remembers.
    Unknown,
}

/// Looks for an edit made on top of a revision.
pub fn find_edit(
    document: &Document,
    section: &SectionName,
    expected: SectionRevision,
    nonce: WriteNonce,
) -> EditLookup {
    let Some(section) = document.sections.get(section) else {
        return EditLookup::NotApplied;
    };
    if let Some(edit) = section.edits.iter().find(|edit| edit.nonce == nonce) {
        return EditLookup::Applied(edit.revision);
    }
    let made = expected.next();
    let remembered = section.edits.iter().any(|edit| edit.revision <= made);
    if section.revision <= expected || remembered {
        EditLookup::NotApplied
    } else {
        EditLookup::Unknown
    }
}
