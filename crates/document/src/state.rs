//! What one process knows of the document.

use base::prelude::*;

use crate::{CallerIndex, Configuration, Document, GoodSections, RejectedSection};

/// Document, floor and configuration of one process.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    /// Newest version known to exist; nothing older is ever taken in.
    pub floor: ObjectVersion,
    /// Document in force.
    pub document: Arc<Document>,
    /// Latest version for which it is known that no good section is missing.
    pub resolved_version: ObjectVersion,
    /// Section versions in force.
    pub good: GoodSections,
    /// Configuration in force, shared with whoever reads it.
    pub in_force: Arc<InForce>,
}

/// Configuration in force and where it comes from.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// Version of the document; zero before the first one.
    pub version: ObjectVersion,
    /// Configuration.
    pub configuration: Configuration,
    /// Its callers by key.
    pub callers: CallerIndex,
    /// Sections whose present text doesn't take effect.
    pub rejected: Vec<RejectedSection>,
}
