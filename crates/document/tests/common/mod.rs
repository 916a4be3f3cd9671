//! Documents for the tests.

use base::prelude::*;
use document::{Document, Section};

/// Section of the models' team.
pub const MODELS: &str = "deployments:
  quotes: {model: fogas-7b, group_size: 4, groups: 2}
";

/// Section of the front desk's team, which uses the models' section.
pub const FRONT: &str = "services:
  fogas-llm: {deployment: quotes}
  foglalas: {plain: {non_idempotent: ['POST /charges']}}
workspaces:
  debrecen:
    services: [fogas-llm, foglalas]
";

/// Document with these sections, each owned by a team of its name.
pub fn make_document(texts: &[(&str, &str)]) -> Document {
    let mut document = Document::default();
    for (name, text) in texts {
        write_text(&mut document, name, text);
    }
    document
}

/// Writes a section by other means: no check, next revision.
pub fn write_text(document: &mut Document, name: &str, text: &str) {
    let revision = revision_of(document, name).next();
    let section = Section {
        owner: TeamName::new(name).unwrap(),
        revision,
        text: Arc::from(text),
        edits: Default::default(),
    };
    document
        .sections
        .insert(SectionName::new(name).unwrap(), section);
}

/// Present revision of a section.
pub fn revision_of(document: &Document, name: &str) -> SectionRevision {
    let name = SectionName::new(name).unwrap();
    let section = document.sections.get(&name);
    section.map_or(SectionRevision(0), |section| section.revision)
}
