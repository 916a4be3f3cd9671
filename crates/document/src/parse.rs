//! Parsing of a section's YAML text.

use base::prelude::*;
use serde_saphyr::UserMessageFormatter;

use crate::convert::SectionReader;
use crate::wire::SectionWire;
use crate::{
    Configuration, DocumentError, ParsedSection, SectionDigest, SectionFault, TextPosition,
};

/// Parses the YAML text of one section; returns only the first fault.
pub fn parse_configuration(text: &str) -> Result<Configuration, SectionFault> {
    match parse_section(&Arc::from(text)) {
        Ok(parsed) => Ok(parsed.configuration),
        Err(mut faults) => Err(faults.swap_remove(0)),
    }
}

/// Parses a section and checks it by itself, without the other sections.
///
/// Returns all faults, sorted by position; the list is never empty.
pub fn parse_section(text: &Arc<str>) -> Result<ParsedSection, Vec<SectionFault>> {
    let wire = read_yaml(text).map_err(|fault| vec![fault])?;
    let mut reader = SectionReader::default();
    reader.read(wire);
    if !reader.faults.is_empty() {
        reader.faults.sort_by_key(|fault| fault.position);
        return Err(reader.faults);
    }
    Ok(ParsedSection {
        digest: SectionDigest::of_text(text),
        text: Arc::clone(text),
        configuration: reader.configuration,
        outline: reader.outline,
    })
}

fn read_yaml(text: &str) -> Result<SectionWire, SectionFault> {
    match serde_saphyr::from_str::<Option<SectionWire>>(text) {
        Ok(wire) => Ok(wire.unwrap_or_default()),
        Err(error) => Err(syntax_fault(&error)),
    }
}

fn syntax_fault(error: &serde_saphyr::Error) -> SectionFault {
    let position = error
        .location()
        .map_or(TextPosition::START, TextPosition::from);
    let message = error
        .without_snippet()
        .render_with_formatter(&UserMessageFormatter);
    let suffix = format!(" at {position}");
    let message = message.strip_suffix(&suffix).unwrap_or(&message).to_owned();
    SectionFault::new(position, DocumentError::Syntax { message })
}
