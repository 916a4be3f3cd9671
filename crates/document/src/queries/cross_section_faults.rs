use std::collections::{BTreeMap, HashMap};

use base::prelude::*;

use crate::{DefinedName, KeyDigest, KeyEntry, SectionOutline, TextPosition};

/// Outlines of the sections to be checked together, by section name.
pub type SectionOutlines<'a> = BTreeMap<&'a SectionName, &'a SectionOutline>;

/// Fault between sections that are each valid by themselves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrossSectionFault {
    /// A section refers to a name that no section defines.
    Undefined {
        /// Name without a definition.
        name: DefinedName,
        /// Position of the reference.
        usage: SectionPosition,
    },
    /// Two sections define the same name.
    Redefined {
        /// Name defined twice.
        name: DefinedName,
        /// First definition, in the order of section names.
        first: SectionPosition,
        /// Second definition, in the order of section names.
        second: SectionPosition,
    },
    /// Two callers have the same API key.
    KeyShared {
        /// First key entry, in the order of section names, with its section.
        first: (SectionName, KeyEntry),
        /// Second key entry with its section.
        second: (SectionName, KeyEntry),
    },
}

/// Position in a section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SectionPosition {
    /// Name of the section.
    pub section: SectionName,
    /// Position in the section's text.
    pub position: TextPosition,
}

impl SectionPosition {
    fn new(section: &SectionName, position: TextPosition) -> Self {
        Self {
            section: section.clone(),
            position,
        }
    }
}

/// Checks sections against one another and returns the faults found.
pub fn cross_section_faults(outlines: &SectionOutlines<'_>) -> Vec<CrossSectionFault> {
    let mut faults = Vec::new();
    let definitions = check_definitions(outlines, &mut faults);
    check_references(outlines, &definitions, &mut faults);
    check_keys(outlines, &mut faults);
    faults
}

type Definitions<'a> = BTreeMap<&'a DefinedName, SectionPosition>;

fn check_definitions<'a>(
    outlines: &SectionOutlines<'a>,
    faults: &mut Vec<CrossSectionFault>,
) -> Definitions<'a> {
    let mut definitions = Definitions::new();
    for (section, outline) in outlines {
        for (name, position) in &outline.definitions {
            let second = SectionPosition::new(section, *position);
            match definitions.get(name) {
                None => {
                    definitions.insert(name, second);
                }
                Some(first) => faults.push(CrossSectionFault::Redefined {
                    name: name.clone(),
                    first: first.clone(),
                    second,
                }),
            }
        }
    }
    definitions
}

fn check_references(
    outlines: &SectionOutlines<'_>,
    definitions: &Definitions<'_>,
    faults: &mut Vec<CrossSectionFault>,
) {
    for (section, outline) in outlines {
        let missing = outline
            .references
            .iter()
            .filter(|(name, _)| !definitions.contains_key(name));
        for (name, position) in missing {
            faults.push(CrossSectionFault::Undefined {
                name: name.clone(),
                usage: SectionPosition::new(section, *position),
            });
        }
    }
}

fn check_keys(outlines: &SectionOutlines<'_>, faults: &mut Vec<CrossSectionFault>) {
    let mut holders: HashMap<KeyDigest, (&SectionName, &KeyEntry)> = HashMap::new();
    for (&section, outline) in outlines {
        for entry in &outline.keys {
            match holders.get(&entry.digest) {
                None => {
                    holders.insert(entry.digest, (section, entry));
                }
                Some(&(holder, first)) => faults.push(CrossSectionFault::KeyShared {
                    first: (holder.clone(), first.clone()),
                    second: (section.clone(), entry.clone()),
                }),
            }
        }
    }
}
