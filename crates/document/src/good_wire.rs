//! JSON form in which the last good sections are stored.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};

use crate::{DecodeError, GoodSection, GoodSections, parse_section};

/// JSON form of [`GoodSections`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GoodSectionsWire {
    sections: BTreeMap<Arc<str>, Box<RawValue>>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct GoodSectionWire {
    revision: SectionRevision,
    text: Arc<str>,
}

impl GoodSections {
    /// Decodes stored sections; one that can't be decoded, or that this version of the program
    /// rejects, is left out.
    pub fn decode(value: &str) -> Result<Self, DecodeError> {
        let wire: GoodSectionsWire = serde_json::from_str(value).map_err(|error| DecodeError {
            reason: error.to_string(),
        })?;
        Ok(wire.into())
    }

    /// Encodes the sections as JSON.
    pub fn encode(&self) -> Arc<str> {
        let wire = GoodSectionsWire::from(self);
        let value = serde_json::to_string(&wire).expect("names, numbers and texts are plain JSON");
        Arc::from(value)
    }
}

impl From<GoodSectionsWire> for GoodSections {
    fn from(wire: GoodSectionsWire) -> Self {
        let sections = wire.sections.into_iter().filter_map(|(name, section)| {
            let name = SectionName::new(&name).ok()?;
            let section: GoodSectionWire = serde_json::from_str(section.get()).ok()?;
            let parsed = Arc::new(parse_section(&section.text).ok()?);
            let revision = section.revision;
            Some((name, GoodSection { revision, parsed }))
        });
        Self(sections.collect())
    }
}

impl From<&GoodSections> for GoodSectionsWire {
    fn from(good: &GoodSections) -> Self {
        let sections = good.0.iter().map(|(name, section)| {
            let wire = GoodSectionWire {
                revision: section.revision,
                text: Arc::clone(&section.parsed.text),
            };
            let wire = to_raw_value(&wire).expect("names, numbers and texts are plain JSON");
            (Arc::from(name.as_str()), wire)
        });
        Self {
            sections: sections.collect(),
        }
    }
}
