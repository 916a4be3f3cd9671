//! Documents shared by the tests.

use base::prelude::*;
use document::{Document, Section};

/// Section of the team that runs the models.
pub const MODELS: &str = "deployments:
  quotes: {model: fogas-7b, group_size: 4, groups: 2}
";

/// Section of the front desk's team, which refers to the models' section.
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

/// Writes the next revision of a section without the checks of an edit.
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

/// Current revision of a section; zero if it doesn't exist.
pub fn revision_of(document: &Document, name: &str) -> SectionRevision {
    let name = SectionName::new(name).unwrap();
    let section = document.sections.get(&name);
    section.map_or(SectionRevision(0), |section| section.revision)
}
