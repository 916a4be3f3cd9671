use base::prelude::*;

use crate::queries::effective_config;
use crate::{Document, EDIT_LIMIT, EditRecord, GoodSections, Section, SectionFault};

/// Proposed text of one section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SectionEdit {
    /// Section to edit.
    pub section: SectionName,
    /// Team that makes the edit.
    pub owner: TeamName,
    /// Revision that the edit is based on; zero for a new section.
    pub expected: SectionRevision,
    /// New text.
    pub text: Arc<str>,
    /// Nonce by which the writer can check later whether the edit was applied.
    pub nonce: WriteNonce,
}

/// Outcome of an edit; only [`EditOutcome::Edited`] changes the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// The edit was applied and created this revision.
    Edited(SectionRevision),
    /// The section already has this text, in this revision.
    Unchanged(SectionRevision),
    /// The section's revision is not the expected one.
    Conflict {
        /// Current revision; zero if the section doesn't exist.
        found: SectionRevision,
    },
    /// The section belongs to another team.
    NotOwner {
        /// Team that owns the section.
        owner: TeamName,
    },
    /// The new text has faults, by itself or together with other sections.
    Faulty(Vec<SectionFault>),
}

/// Replaces the text of one section if the result has no faults.
///
/// A faulty section of another team is checked in its last good version, so that
/// it doesn't block the edit.
pub fn edit_section(
    document: &mut Document,
    last_good: &GoodSections,
    edit: &SectionEdit,
) -> EditOutcome {
    if let Err(outcome) = check_edit(document, edit) {
        return outcome;
    }
    let before = effective_config(document, last_good).good;
    let mut edited = document.clone();
    let revision = write_section(&mut edited, edit);
    let after = effective_config(&edited, &before);
    let rejected = after.rejected.into_iter();
    let mut of_section = rejected.filter(|rejected| rejected.section == edit.section);
    match of_section.next() {
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
