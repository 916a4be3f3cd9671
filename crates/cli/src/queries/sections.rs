//! Sections of the document.

use base::prelude::*;
use document::queries::effective_config;
use document::{Document, RejectedSection, Section};
use serde::Serialize;
use serde_json::{Value, json};

use crate::objects::{read_document, read_last_good};
use crate::output::{ListReport, ReportRow};
use crate::section_text::{TextOrigin, add_header};
use crate::{CliError, CommandOutcome, Report, ReportBody, Session};

/// Row of the list of sections.
#[derive(Clone, Debug, Serialize)]
pub struct SectionRow {
    section: SectionName,
    owner: Option<TeamName>,
    revision: SectionRevision,
    in_force: Option<SectionRevision>,
    bytes: usize,
    faults: Vec<String>,
}

impl ReportRow for SectionRow {
    const COLUMNS: &'static [&'static str] = &[
        "section", "owner", "revision", "in force", "bytes", "faults",
    ];
    const EMPTY_TEXT: &'static str = "the document has no sections";

    fn cells(&self) -> Vec<String> {
        let owner = self.owner.as_ref().map_or("-", TeamName::as_str);
        let in_force = self
            .in_force
            .map_or("-".to_owned(), |revision| revision.to_string());
        vec![
            self.section.to_string(),
            owner.to_owned(),
            self.revision.to_string(),
            in_force,
            self.bytes.to_string(),
            self.faults.join("; "),
        ]
    }
}

/// Lists the sections and their faults.
pub async fn list_sections(session: &Session) -> Result<CommandOutcome, CliError> {
    let (_, document) = read_document(session).await?;
    let (_, good) = read_last_good(session).await?;
    let rejected = effective_config(&document, &good).rejected;
    let read = document.sections.iter().map(|(name, section)| SectionRow {
        section: name.clone(),
        owner: Some(section.owner.clone()),
        revision: section.revision,
        in_force: in_force_of(&rejected, name, section.revision),
        bytes: section.text.len(),
        faults: faults_of(&rejected, name),
    });
    let unreadable = document.unreadable.iter().map(|(name, entry)| SectionRow {
        section: name.clone(),
        owner: None,
        revision: SectionRevision::default(),
        in_force: in_force_of(&rejected, name, SectionRevision::default()),
        bytes: entry.encoded.len(),
        faults: faults_of(&rejected, name),
    });
    let mut rows: Vec<_> = read.chain(unreadable).collect();
    rows.sort_by(|one, other| one.section.cmp(&other.section));
    Ok(CommandOutcome::success(ListReport::new(rows)))
}

fn in_force_of(
    rejected: &[RejectedSection],
    section: &SectionName,
    revision: SectionRevision,
) -> Option<SectionRevision> {
    let matching = rejected.iter().find(|entry| entry.section == *section);
    matching.map_or(Some(revision), |entry| entry.in_force)
}

fn faults_of(rejected: &[RejectedSection], section: &SectionName) -> Vec<String> {
    let matching = rejected.iter().filter(|entry| entry.section == *section);
    let faults = matching.flat_map(|entry| &entry.faults);
    faults.map(ToString::to_string).collect()
}

/// Text of one section.
pub struct SectionReport {
    version: ObjectVersion,
    name: SectionName,
    section: Section,
}

impl Report for SectionReport {
    fn to_json(&self) -> Value {
        json!({
            "section": self.name,
            "owner": self.section.owner,
            "revision": self.section.revision,
            "version": self.version,
            "text": self.section.text,
        })
    }

    fn to_body(&self) -> ReportBody {
        let origin = TextOrigin {
            section: self.name.clone(),
            revision: self.section.revision,
        };
        ReportBody::Text(add_header(&origin, &self.section.text))
    }
}

/// Shows one section.
pub async fn show_section(
    session: &Session,
    name: SectionName,
) -> Result<CommandOutcome, CliError> {
    let (version, mut document) = read_document(session).await?;
    let section = take_section(&mut document, &name)?;
    Ok(CommandOutcome::success(SectionReport {
        version,
        name,
        section,
    }))
}

/// Row of a section's history.
#[derive(Clone, Debug, Serialize)]
pub struct EditRow {
    revision: SectionRevision,
    nonce: String,
}

impl ReportRow for EditRow {
    const COLUMNS: &'static [&'static str] = &["revision", "mark"];
    const EMPTY_TEXT: &'static str = "the section has no recorded edits";

    fn cells(&self) -> Vec<String> {
        vec![self.revision.to_string(), self.nonce.clone()]
    }
}

/// Lists the latest edits of a section, the newest first.
pub async fn list_edits(session: &Session, name: SectionName) -> Result<CommandOutcome, CliError> {
    let (_, mut document) = read_document(session).await?;
    let section = take_section(&mut document, &name)?;
    let rows = section.edits.iter().rev().map(|edit| EditRow {
        revision: edit.revision,
        nonce: format!("{:016x}", edit.nonce.0),
    });
    Ok(CommandOutcome::success(ListReport::new(rows.collect())))
}

fn take_section(document: &mut Document, name: &SectionName) -> Result<Section, CliError> {
    let section = document.sections.remove(name);
    section.ok_or_else(|| CliError::Missing {
        kind: "section",
        name: name.to_string(),
        list: "section list",
    })
}
