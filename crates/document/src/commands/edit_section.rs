use base::prelude::*;

use crate::queries::effective;
use crate::{Document, EDIT_LIMIT, EditRecord, GoodSections, Section, SectionFault};

/// Proposed text of one section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SectionEdit {
    /// Section to write.
    pub section: SectionName,
    /// Team that writes it.
    pub owner: TeamName,
    /// Revision that the writer has seen; zero for a new section.
    pub expected: SectionRevision,
    /// New text.
    pub text: Arc<str>,
    /// Mark by which the writer finds the edit again.
    pub nonce: WriteNonce,
}

/// End of an edit; only [`EditOutcome::Edited`] changes the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// The section has the new text and this revision.
    Edited(SectionRevision),
    /// The section already has this text.
    Unchanged(SectionRevision),
    /// The section was edited since the writer saw it.
    Conflict {
        /// Revision it has now.
        found: SectionRevision,
    },
    /// The section belongs to another team.
    NotOwner {
        /// Team that owns it.
        owner: TeamName,
    },
    /// The text, or the document with it, has faults.
    Faulty(Vec<SectionFault>),
}

/// Edits one section and leaves the others as they are.
///
/// A bad section of another team counts as its last good version, so that it
/// stands in nobody's way.
pub fn edit_section(
    document: &mut Document,
    last_good: &GoodSections,
    edit: &SectionEdit,
) -> EditOutcome {
    if let Err(outcome) = check_edit(document, edit) {
        return outcome;
    }
    let before = effective(document, last_good).good;
    let mut edited = document.clone();
    let revision = write_section(&mut edited, edit);
    let after = effective(&edited, &before);
    let rejected = after.rejected.into_iter();
    let mut own = rejected.filter(|rejected| rejected.section == edit.section);
    match own.next() {
        Some(rejected) => EditOutcome::Faulty(rejected.faults),
        None => {
            *document = edited;
            EditOutcome::Edited(revision)
        }
    }
}

fn check_edit(document: &Document, edit: &SectionEdit) -> Result<(), EditOutcome> {
    let Some(section) = document.sections.get(&edit.section) else {
        let found = SectionRevision::default();
        return match edit.expected == found {
            true => Ok(()),
            false => Err(EditOutcome::Conflict { found }),
        };
    };
    if section.owner != edit.owner {
        let owner = section.owner.clone();
        return Err(EditOutcome::NotOwner { owner });
    }
    if section.revision != edit.expected {
        let found = section.revision;
        return Err(EditOutcome::Conflict { found });
    }
    if section.text == edit.text {
        return Err(EditOutcome::Unchanged(section.revision));
    }
    Ok(())
}

fn write_section(document: &mut Document, edit: &SectionEdit) -> SectionRevision {
    document.unreadable.remove(&edit.section);
    let revision = edit.expected.next();
    let previous = document.sections.remove(&edit.section);
    let mut edits = previous.map(|section| section.edits).unwrap_or_default();
    edits.push_back(EditRecord {
        revision,
        nonce: edit.nonce,
    });
    if edits.len() > EDIT_LIMIT {
        edits.pop_front();
    }
    let section = Section {
        owner: edit.owner.clone(),
        revision,
        text: Arc::clone(&edit.text),
        edits,
    };
    document.sections.insert(edit.section.clone(), section);
    revision
}
