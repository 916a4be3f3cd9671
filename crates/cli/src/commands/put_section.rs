//! Writes a section on top of the revision that its writer saw.

use base::prelude::*;
use document::commands::{EditOutcome, SectionEdit, edit_section};
use document::queries::{EditLookup, find_edit};
use document::{Document, GoodSections, SectionFault};
use interface::keys::document_key;
use serde_json::{Value, json};
use store::{ObjectChange, UpdateOutcome};

use super::keep_good::keep_good;
use crate::objects::{read_document, read_good};
use crate::section_text::split_header;
use crate::{Answer, CliError, Report, ReportBody, Session};

/// Attempts before the command gives up.
const ATTEMPT_LIMIT: u32 = 10;

/// Section to write.
#[derive(Clone, Debug)]
pub struct PutOrder {
    /// Its name.
    pub section: SectionName,
    /// Team that writes it.
    pub owner: TeamName,
    /// Revision that the text was made from, if the arguments say so.
    pub revision: Option<SectionRevision>,
    /// Text, perhaps with the first line of a shown section.
    pub text: Arc<str>,
}

/// Section after a put.
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
                 'bronzerun watch {version}' shows it come into force"
            )
        } else {
            format!("section {section} already has this text at revision {revision}")
        })
    }
}

/// How one attempt ended.
enum Attempt {
    Done(PutReport, Document),
    Again,
    InDoubt,
}

/// Writes a section; edits of other sections in between don't hinder it.
pub async fn put_section(session: &Session, order: &PutOrder) -> Result<Answer, CliError> {
    let (edit, header_lines) = make_edit(session, order)?;
    let (_, good) = read_good(session).await?;
    let mut in_doubt = false;
    for attempt in 0..ATTEMPT_LIMIT {
        match try_edit(session, &good, &edit, in_doubt).await {
            Ok(Attempt::Done(report, document)) => {
                keep_good(session, &document).await;
                return Ok(Answer::done(report));
            }
            Ok(Attempt::Again) => {}
            Ok(Attempt::InDoubt) => in_doubt = true,
            Err(CliError::Unavailable) if in_doubt => return Err(doubt(&edit)),
            Err(error) => return Err(shift_faults(error, header_lines)),
        }
        session.pause(attempt).await;
    }
    if in_doubt {
        return Err(doubt(&edit));
    }
    let key = document_key().to_string();
    Err(CliError::Contended { key })
}

fn make_edit(session: &Session, order: &PutOrder) -> Result<(SectionEdit, u64), CliError> {
    let (origin, text) = split_header(&order.text);
    if let Some(origin) = &origin
        && origin.section != order.section
    {
        return Err(CliError::OtherSection {
            section: order.section.clone(),
            found: origin.section.clone(),
        });
    }
    let told = origin.as_ref().map(|origin| origin.revision);
    let expected = order.revision.or(told).unwrap_or_default();
    let edit = SectionEdit {
        section: order.section.clone(),
        owner: order.owner.clone(),
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
    in_doubt: bool,
) -> Result<Attempt, CliError> {
    let (version, mut document) = read_document(session).await?;
    if in_doubt && let Some(report) = find_report(&document, version, edit)? {
        return Ok(Attempt::Done(report, document));
    }
    let revision = match edit_section(&mut document, good, edit) {
        EditOutcome::Edited(revision) => revision,
        EditOutcome::Unchanged(revision) => {
            let report = report_put(edit, revision, version, false);
            return Ok(Attempt::Done(report, document));
        }
        refused => return Err(refusal(edit, refused)),
    };
    let change = ObjectChange {
        key: document_key(),
        expected: version,
        value: document.encode(),
    };
    match session.store.update(change).await {
        UpdateOutcome::Applied(version) => {
            let report = report_put(edit, revision, version, true);
            Ok(Attempt::Done(report, document))
        }
        UpdateOutcome::Conflict => Ok(Attempt::Again),
        UpdateOutcome::Unknown => Ok(Attempt::InDoubt),
        UpdateOutcome::Unavailable => Err(CliError::Unavailable),
        UpdateOutcome::TooLarge => {
            let key = document_key().to_string();
            Err(CliError::TooLarge { key })
        }
    }
}

/// Looks for an edit whose reply was lost.
fn find_report(
    document: &Document,
    version: ObjectVersion,
    edit: &SectionEdit,
) -> Result<Option<PutReport>, CliError> {
    match find_edit(document, &edit.section, edit.expected, edit.nonce) {
        EditLookup::Applied(revision) => Ok(Some(report_put(edit, revision, version, true))),
        EditLookup::NotApplied => Ok(None),
        EditLookup::Unknown => Err(doubt(edit)),
    }
}

fn report_put(
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

fn refusal(edit: &SectionEdit, outcome: EditOutcome) -> CliError {
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
            unreachable!("these outcomes are no refusals")
        }
    }
}

/// Counts the first line of a shown section, so that places match the file.
fn shift_faults(error: CliError, lines: u64) -> CliError {
    let CliError::Faulty { section, faults } = error else {
        return error;
    };
    let shift = |mut fault: SectionFault| {
        fault.position.line += lines;
        fault
    };
    let faults = faults.into_iter().map(shift).collect();
    CliError::Faulty { section, faults }
}

fn doubt(edit: &SectionEdit) -> CliError {
    CliError::InDoubt {
        look: format!("bronzerun section history {}", edit.section),
    }
}
