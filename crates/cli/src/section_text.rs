//! First line of a section's text as it is shown and put.
//!
//! The line tells which revision a text was made from, so that an edit can be
//! refused if somebody else was faster. It is a comment to the YAML parser and
//! is not stored.

use base::prelude::*;

const HEADER_START: &str = "# section ";
const HEADER_REVISION: &str = ", revision ";

/// Section and revision that a text was made from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextOrigin {
    /// The section.
    pub section: SectionName,
    /// Its revision.
    pub revision: SectionRevision,
}

/// Text with its first line.
pub fn add_header(origin: &TextOrigin, text: &str) -> String {
    let TextOrigin { section, revision } = origin;
    format!("{HEADER_START}{section}{HEADER_REVISION}{revision}\n{text}")
}

/// Origin of a text, if its first line tells, and the text without that line.
pub fn split_header(text: &str) -> (Option<TextOrigin>, &str) {
    let (first, rest) = text.split_once('\n').unwrap_or((text, ""));
    match parse_header(first.trim_end()) {
        Some(origin) => (Some(origin), rest),
        None => (None, text),
    }
}

fn parse_header(line: &str) -> Option<TextOrigin> {
    let rest = line.strip_prefix(HEADER_START)?;
    let (section, revision) = rest.split_once(HEADER_REVISION)?;
    Some(TextOrigin {
        section: SectionName::new(section).ok()?,
        revision: SectionRevision(revision.parse().ok()?),
    })
}
