use base::prelude::*;

use crate::Document;

/// Result of looking up an edit whose reply was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditTrace {
    /// The edit was applied and created this revision.
    Made(SectionRevision),
    /// The edit was not applied.
    NotMade,
    /// Unknown: more edits followed than the section keeps.
    Forgotten,
}

/// Looks up an edit by its nonce and the revision that it was based on.
pub fn find_edit(
    document: &Document,
    section: &SectionName,
    expected: SectionRevision,
    nonce: WriteNonce,
) -> EditTrace {
    let Some(section) = document.sections.get(section) else {
        return EditTrace::NotMade;
    };
    if let Some(edit) = section.edits.iter().find(|edit| edit.nonce == nonce) {
        return EditTrace::Made(edit.revision);
    }
    let made = expected.next();
    let remembered = section.edits.iter().any(|edit| edit.revision <= made);
    if section.revision <= expected || remembered {
        EditTrace::NotMade
    } else {
        EditTrace::Forgotten
    }
}
