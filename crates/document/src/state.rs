//! Document and configuration of one process.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{CallerIndex, Configuration, Document, GoodSections, RejectedSection, Section};

/// Document and configuration that one process uses, with the version floor.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    /// Newest version known to exist; an older document is never accepted.
    pub floor: ObjectVersion,
    /// Document of the version in force.
    pub document: Arc<Document>,
    /// Sections of which the store holds an older revision since it was restored from a copy.
    pub lost_sections: BTreeMap<SectionName, Section>,
    /// Latest version known to lack no last good section: either it left no section
    /// out, or the stored last good versions were looked up.
    pub resolved_version: ObjectVersion,
    /// Section versions that make up the configuration in force.
    pub good: GoodSections,
    /// Configuration in force.
    pub in_force: Arc<ConfigInForce>,
}

/// Configuration in force, with the version of its document.
#[derive(Clone, Debug, Default)]
pub struct ConfigInForce {
    /// Version of the document; zero before a document was accepted.
    pub version: ObjectVersion,
    /// Configuration that the accepted sections make up.
    pub configuration: Configuration,
    /// Callers of the configuration by API key.
    pub callers: CallerIndex,
    /// Sections whose current text is rejected.
    pub rejected: Vec<RejectedSection>,
}
