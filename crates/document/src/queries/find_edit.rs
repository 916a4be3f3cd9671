use base::prelude::*;

use crate::Document;

/// Result of looking up an edit whose reply was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditLookup {
    /// The edit was applied and created this revision.
    Applied(SectionRevision),
    /// The edit was not applied.
    NotApplied,
    /// Unknown: more edits followed than the section keeps.
    Unknown,
}

/// Looks up an edit by its nonce and the revision that it was based on.
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
    let created = expected.next();
    let is_kept = section.edits.iter().any(|edit| edit.revision <= created);
    if section.revision <= expected || is_kept {
        EditLookup::NotApplied
    } else {
        EditLookup::Unknown
    }
}
