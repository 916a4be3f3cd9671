//! Header line of a section's text, as `section show` prints it and `section put` reads it.
//!
//! The line gives the revision that the text is based on, so that an edit is
//! refused if the section has changed since. It is a YAML comment and is not
//! stored.

use base::prelude::*;

const HEADER_PREFIX: &str = "# section ";
const REVISION_SEPARATOR: &str = ", revision ";

/// Section and revision that a text is based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextOrigin {
    /// Name of the section.
    pub section: SectionName,
    /// Revision of the section.
    pub revision: SectionRevision,
}

/// Returns the text with a header line before it.
pub fn add_header(origin: &TextOrigin, text: &str) -> String {
    let TextOrigin { section, revision } = origin;
    format!("{HEADER_PREFIX}{section}{REVISION_SEPARATOR}{revision}\n{text}")
}

/// Splits off the header line; the origin is `None` if the first line is no header.
pub fn split_header(text: &str) -> (Option<TextOrigin>, &str) {
    let (first, rest) = text.split_once('\n').unwrap_or((text, ""));
    match parse_header(first.trim_end()) {
        Some(origin) => (Some(origin), rest),
        None => (None, text),
    }
}

fn parse_header(line: &str) -> Option<TextOrigin> {
    let rest = line.strip_prefix(HEADER_PREFIX)?;
    let (section, revision) = rest.split_once(REVISION_SEPARATOR)?;
    Some(TextOrigin {
        section: SectionName::new(section).ok()?,
        revision: SectionRevision(revision.parse().ok()?),
    })
}
