//! Result of resolving a document: the sections that take effect and those rejected.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{Configuration, ParsedSection, SectionFault};

/// Configuration that results from a document, and the sections left out of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EffectiveConfig {
    /// Configuration that takes effect.
    pub configuration: Configuration,
    /// Section versions that the configuration is made of.
    pub good: GoodSections,
    /// Sections whose current text is rejected.
    pub rejected: Vec<RejectedSection>,
}

/// Last good version of each section: together they passed every check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GoodSections(pub BTreeMap<SectionName, GoodSection>);

/// Version of a section that passed every check.
#[derive(Clone, Debug, PartialEq)]
pub struct GoodSection {
    /// Revision of the section.
    pub revision: SectionRevision,
    /// Parsed text of that revision.
    pub parsed: Arc<ParsedSection>,
}

/// Section whose current text is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedSection {
    /// Name of the section.
    pub section: SectionName,
    /// Rejected revision.
    pub revision: SectionRevision,
    /// Last good revision, which stays in force; `None` if there is none.
    pub in_force: Option<SectionRevision>,
    /// Faults that the section was rejected for.
    pub faults: Vec<SectionFault>,
}
