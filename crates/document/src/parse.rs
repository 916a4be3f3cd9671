//! From the text of a section to a configuration.

use crate::wire::SectionWire;
use crate::{Configuration, DocumentError};

/// Parses the YAML text of one section.
pub fn parse_section(text: &str) -> Result<Configuration, DocumentError> {
    let wire: SectionWire =
        serde_saphyr::from_str(text).map_err(|fault| DocumentError::Syntax {
            message: fault.to_string(),
        })?;
    wire.try_into()
}
