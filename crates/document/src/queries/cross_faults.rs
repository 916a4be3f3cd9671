use std::collections::{BTreeMap, HashMap};

use base::prelude::*;

use crate::{DefinedName, KeyDigest, KeyEntry, SectionOutline, TextPlace};

/// Outlines of the sections to be checked together, by section name.
pub type SectionOutlines<'a> = BTreeMap<&'a SectionName, &'a SectionOutline>;

/// Fault between sections that are each valid by themselves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrossFault {
    /// A section refers to a name that no section defines.
    Undefined {
        /// Name without a definition.
        name: DefinedName,
        /// Position of the reference.
        usage: SectionPlace,
    },
    /// Two sections define the same name.
    Redefined {
        /// Name defined twice.
        name: DefinedName,
        /// First definition, in the order of section names.
        first: SectionPlace,
        /// Second definition, in the order of section names.
        second: SectionPlace,
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
pub struct SectionPlace {
    /// Name of the section.
    pub section: SectionName,
    /// Position in the section's text.
    pub place: TextPlace,
}

impl SectionPlace {
    fn new(section: &SectionName, place: TextPlace) -> Self {
        Self {
            section: section.clone(),
            place,
        }
    }
}

/// Checks sections against one another and returns the faults found.
pub fn cross_faults(outlines: &SectionOutlines<'_>) -> Vec<CrossFault> {
    let mut faults = Vec::new();
    let definitions = check_definitions(outlines, &mut faults);
    check_references(outlines, &definitions, &mut faults);
    check_keys(outlines, &mut faults);
    faults
}

type Definitions<'a> = BTreeMap<&'a DefinedName, SectionPlace>;

fn check_definitions<'a>(
    outlines: &SectionOutlines<'a>,
    faults: &mut Vec<CrossFault>,
) -> Definitions<'a> {
    let mut definitions = Definitions::new();
    for (section, outline) in outlines {
        for (name, place) in &outline.definitions {
            let second = SectionPlace::new(section, *place);
            match definitions.get(name) {
                None => {
                    definitions.insert(name, second);
                }
                Some(first) => faults.push(CrossFault::Redefined {
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
    faults: &mut Vec<CrossFault>,
) {
    for (section, outline) in outlines {
        let missing = outline
            .references
            .iter()
            .filter(|(name, _)| !definitions.contains_key(name));
        for (name, place) in missing {
            faults.push(CrossFault::Undefined {
                name: name.clone(),
                usage: SectionPlace::new(section, *place),
            });
        }
    }
}

fn check_keys(outlines: &SectionOutlines<'_>, faults: &mut Vec<CrossFault>) {
    let mut holders: HashMap<KeyDigest, (&SectionName, &KeyEntry)> = HashMap::new();
    for (&section, outline) in outlines {
        for entry in &outline.keys {
            match holders.get(&entry.digest) {
                None => {
                    holders.insert(entry.digest, (section, entry));
                }
                Some(&(holder, first)) => faults.push(CrossFault::KeyShared {
                    first: (holder.clone(), first.clone()),
                    second: (section.clone(), entry.clone()),
                }),
            }
        }
    }
}
