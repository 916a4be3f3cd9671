//! JSON form in which the document is stored.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::{DecodeError, Document, EditRecord, Section, UnreadableSection};

/// JSON form of a [`Document`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentWire {
    sections: BTreeMap<Arc<str>, Box<RawValue>>,
}

/// JSON form of a [`Section`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SectionEntryWire {
    owner: TeamName,
    revision: SectionRevision,
    text: Arc<str>,
    #[serde(default)]
    edits: Vec<EditWire>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct EditWire {
    revision: SectionRevision,
    nonce: WriteNonce,
}

impl Document {
    /// Decodes a stored document; fails only if the JSON as a whole is malformed.
    ///
    /// An entry that can't be decoded ends up in [`Document::unreadable`], and one whose name no
    /// section can have in [`Document::misnamed`].
    pub fn decode(value: &str) -> Result<Self, DecodeError> {
        let wire: DocumentWire = serde_json::from_str(value).map_err(|error| DecodeError {
            reason: error.to_string(),
        })?;
        Ok(wire.into())
    }

    /// Encodes the document as JSON.
    pub fn encode(&self) -> Arc<str> {
        let wire = DocumentWire::from(self);
        let value = serde_json::to_string(&wire).expect("names, numbers and texts are plain JSON");
        Arc::from(value)
    }
}

impl From<DocumentWire> for Document {
    fn from(wire: DocumentWire) -> Self {
        let mut document = Self::default();
        for (key, entry) in wire.sections {
            let Ok(name) = SectionName::new(&key) else {
                document.misnamed.insert(key, Arc::from(entry.get()));
                continue;
            };
            match serde_json::from_str::<SectionEntryWire>(entry.get()) {
                Ok(section) => {
                    document.sections.insert(name, section.into());
                }
                Err(error) => {
                    let unreadable = UnreadableSection {
                        encoded: Arc::from(entry.get()),
                        reason: Arc::from(error.to_string()),
                    };
                    document.unreadable.insert(name, unreadable);
                }
            }
        }
        document
    }
}

impl From<&Document> for DocumentWire {
    fn from(document: &Document) -> Self {
        let decoded = document
            .sections
            .iter()
            .map(|(name, section)| (Arc::from(name.as_str()), encode_section(section)));
        let unreadable = document
            .unreadable
            .iter()
            .map(|(name, entry)| (Arc::from(name.as_str()), encode_raw(&entry.encoded)));
        let misnamed = document
            .misnamed
            .iter()
            .map(|(key, encoded)| (key.clone(), encode_raw(encoded)));
        Self {
            sections: decoded.chain(unreadable).chain(misnamed).collect(),
        }
    }
}

fn encode_section(section: &Section) -> Box<RawValue> {
    serde_json::value::to_raw_value(&SectionEntryWire::from(section))
        .expect("names, numbers and texts are plain JSON")
}

fn encode_raw(encoded: &str) -> Box<RawValue> {
    RawValue::from_string(encoded.to_owned()).expect("the entry was decoded as JSON")
}

impl From<&Section> for SectionEntryWire {
    fn from(section: &Section) -> Self {
        let edits = section.edits.iter().map(|edit| EditWire {
            revision: edit.revision,
            nonce: edit.nonce,
        });
        Self {
            owner: section.owner.clone(),
            revision: section.revision,
            text: Arc::clone(&section.text),
            edits: edits.collect(),
        }
    }
}

impl From<SectionEntryWire> for Section {
    fn from(wire: SectionEntryWire) -> Self {
        let edits = wire.edits.into_iter().map(|edit| EditRecord {
            revision: edit.revision,
            nonce: edit.nonce,
        });
        Self {
            owner: wire.owner,
            revision: wire.revision,
            text: wire.text,
            edits: edits.collect(),
        }
    }
}
