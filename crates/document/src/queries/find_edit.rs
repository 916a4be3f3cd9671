use base::prelude::*;

use crate::Document;

/// What a document tells about an edit whose reply was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditTrace {
    /// The edit took effect and made this revision.
    Made(SectionRevision),
    /// The edit has not taken effect.
    NotMade,
    /// More edits followed than the section remembers.
    Forgotten,
}

/// Looks for an edit made on top of a revision.
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
