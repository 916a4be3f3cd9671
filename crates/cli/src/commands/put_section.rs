//! Writes a section if it is still at the revision that the text is based on.

use base::prelude::*;
use document::commands::{EditOutcome, SectionEdit, edit_section};
use document::queries::{EditLookup, find_edit};
use document::{Document, GoodSections, SectionFault};
use interface::keys::document_key;
use serde_json::{Value, json};
use store::{ObjectChange, UpdateOutcome};

use super::last_good::update_last_good;
use crate::objects::{read_document, read_last_good};
use crate::section_text::split_header;
use crate::{CliError, CommandOutcome, Report, ReportBody, Session};

/// Attempts before the command fails.
const ATTEMPT_LIMIT: u32 = 10;

/// Section to write.
#[derive(Clone, Debug)]
pub struct PutRequest {
    /// Name of the section.
    pub section: SectionName,
    /// Team that writes the section.
    pub owner: TeamName,
    /// Revision that the text is based on; `None` if the arguments do not give it.
    pub revision: Option<SectionRevision>,
    /// Text, with or without the header line that `section show` prints.
    pub text: Arc<str>,
}

/// State of the section after the write.
#[derive(Clone, Debug)]
pub struct PutReport {
    section: SectionName,
    revision: SectionRevision,
    version: ObjectVersion,
    changed: bool,
}

impl Report for PutReport {
    fn to_json(&self) -> Value {
        json!({
            "section": self.section,
            "revision": self.revision,
            "version": self.version,
            "changed": self.changed,
        })
    }

    fn to_body(&self) -> ReportBody {
        let PutReport {
            section,
            revision,
            version,
            ..
        } = self;
        ReportBody::Text(if self.changed {
            format!(
                "section {section} is at revision {revision} in version {version}: \
                 'bronzerun watch {version}' waits until it is in force"
            )
        } else {
            format!("section {section} already has this text at revision {revision}")
        })
    }
}

/// Outcome of one attempt.
enum Attempt {
    Done(PutReport, Document),
    Retry,
    UnknownOutcome,
}

/// Writes a section; concurrent edits of other sections cause a retry, not a conflict.
pub async fn put_section(
    session: &Session,
    request: &PutRequest,
) -> Result<CommandOutcome, CliError> {
    let (edit, header_lines) = make_edit(session, request)?;
    let (_, good) = read_last_good(session).await?;
    let mut is_outcome_unknown = false;
    for attempt in 0..ATTEMPT_LIMIT {
        match try_edit(session, &good, &edit, is_outcome_unknown).await {
            Ok(Attempt::Done(report, document)) => {
                update_last_good(session, &document).await;
                return Ok(CommandOutcome::success(report));
            }
            Ok(Attempt::Retry) => {}
            Ok(Attempt::UnknownOutcome) => is_outcome_unknown = true,
            Err(CliError::Unavailable) if is_outcome_unknown => return Err(unknown_outcome(&edit)),
            Err(error) => return Err(offset_fault_lines(error, header_lines)),
        }
        session.back_off(attempt).await;
    }
    if is_outcome_unknown {
        return Err(unknown_outcome(&edit));
    }
    let key = document_key().to_string();
    Err(CliError::Contended { key })
}

fn make_edit(session: &Session, request: &PutRequest) -> Result<(SectionEdit, u64), CliError> {
    let (origin, text) = split_header(&request.text);
    if let Some(origin) = &origin
        && origin.section != request.section
    {
        return Err(CliError::OtherSection {
            section: request.section.clone(),
            found: origin.section.clone(),
        });
    }
    let header_revision = origin.as_ref().map(|origin| origin.revision);
    let expected = request.revision.or(header_revision).unwrap_or_default();
    let edit = SectionEdit {
        section: request.section.clone(),
        owner: request.owner.clone(),
        expected,
        text: Arc::from(text),
        nonce: session.next_nonce(),
    };
    Ok((edit, u64::from(origin.is_some())))
}

async fn try_edit(
    session: &Session,
    good: &GoodSections,
    edit: &SectionEdit,
    is_outcome_unknown: bool,
) -> Result<Attempt, CliError> {
    let (version, mut document) = read_document(session).await?;
    if is_outcome_unknown && let Some(report) = find_applied_edit(&document, version, edit)? {
        return Ok(Attempt::Done(report, document));
    }
    let revision = match edit_section(&mut document, good, edit) {
        EditOutcome::Edited(revision) => revision,
        EditOutcome::Unchanged(revision) => {
            let report = make_report(edit, revision, version, false);
            return Ok(Attempt::Done(report, document));
        }
        refused => return Err(refusal_error(edit, refused)),
    };
    let change = ObjectChange {
        key: document_key(),
        expected: version,
        value: document.encode(),
    };
    match session.store.update(change).await {
        UpdateOutcome::Applied(version) => {
            let report = make_report(edit, revision, version, true);
            Ok(Attempt::Done(report, document))
        }
        UpdateOutcome::Conflict => Ok(Attempt::Retry),
        UpdateOutcome::Unknown => Ok(Attempt::UnknownOutcome),
        UpdateOutcome::Unavailable => Err(CliError::Unavailable),
        UpdateOutcome::TooLarge => {
            let key = document_key().to_string();
            Err(CliError::TooLarge { key })
        }
    }
}

/// Looks in the document for an edit whose reply was lost.
fn find_applied_edit(
    document: &Document,
    version: ObjectVersion,
    edit: &SectionEdit,
) -> Result<Option<PutReport>, CliError> {
    match find_edit(document, &edit.section, edit.expected, edit.nonce) {
        EditLookup::Applied(revision) => Ok(Some(make_report(edit, revision, version, true))),
        EditLookup::NotApplied => Ok(None),
        EditLookup::Unknown => Err(unknown_outcome(edit)),
    }
}

fn make_report(
    edit: &SectionEdit,
    revision: SectionRevision,
    version: ObjectVersion,
    changed: bool,
) -> PutReport {
    PutReport {
        section: edit.section.clone(),
        revision,
        version,
        changed,
    }
}

fn refusal_error(edit: &SectionEdit, outcome: EditOutcome) -> CliError {
    let section = edit.section.clone();
    match outcome {
        EditOutcome::Conflict { found } if edit.expected == SectionRevision(0) && found.0 > 0 => {
            CliError::NoRevision { section }
        }
        EditOutcome::Conflict { found } => CliError::Conflict {
            section,
            expected: edit.expected,
            found,
        },
        EditOutcome::NotOwner { owner } => CliError::NotOwner { section, owner },
        EditOutcome::Faulty(faults) => CliError::Faulty { section, faults },
        EditOutcome::Edited(_) | EditOutcome::Unchanged(_) => {
            unreachable!("these outcomes are not refusals")
        }
    }
}

/// Adds the header lines to the positions of faults, so that they match the file.
fn offset_fault_lines(error: CliError, lines: u64) -> CliError {
    let CliError::Faulty { section, faults } = error else {
        return error;
    };
    let offset = |mut fault: SectionFault| {
        fault.position.line += lines;
        fault
    };
    let faults = faults.into_iter().map(offset).collect();
    CliError::Faulty { section, faults }
}

fn unknown_outcome(edit: &SectionEdit) -> CliError {
    CliError::UnknownOutcome {
        command: format!("bronzerun section history {}", edit.section),
    }
}
