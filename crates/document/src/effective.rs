//! What takes effect of a document.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{Configuration, ParsedSection, SectionFault};

/// Configuration that a document adds up to, and what it leaves out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EffectiveConfig {
    /// What takes effect.
    pub configuration: Configuration,
    /// Sections that it is made of.
    pub good: GoodSections,
    /// Sections whose present text doesn't take effect.
    pub rejected: Vec<RejectedSection>,
}

/// Versions of the sections that passed every check together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GoodSections(pub BTreeMap<SectionName, GoodSection>);

/// Version of a section that passed every check.
#[derive(Clone, Debug, PartialEq)]
pub struct GoodSection {
    /// Its revision.
    pub revision: SectionRevision,
    /// Its parsed text.
    pub parsed: Arc<ParsedSection>,
}

/// Section whose present text doesn't take effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedSection {
    /// Name of the section.
    pub section: SectionName,
    /// Revision that is rejected.
    pub revision: SectionRevision,
    /// Revision in force instead, if any.
    pub in_force: Option<SectionRevision>,
    /// Why it is rejected.
    pub faults: Vec<SectionFault>,
}
