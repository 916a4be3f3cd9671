//! Which section to hold back for a fault between sections.
//!
//! The last good versions agree with one another, so a fault comes from a
//! section that changed: from the one that took a name out, or the one that
//! defines it a second time. Among several new ones, the first by name stays.

use base::prelude::*;

use super::cross_faults::{CrossSectionFault, SectionPosition};
use super::effective::Candidates;
use crate::{
    DefinedName, DocumentError, KeyDigest, KeyEntry, SectionFault, SectionOutline, TextPosition,
};

/// Sections to hold back, each with the fault as its owner should read it.
pub fn blame(
    fault: &CrossSectionFault,
    candidates: &Candidates,
) -> Vec<(SectionName, SectionFault)> {
    match fault {
        CrossSectionFault::Undefined { name, usage } => blame_undefined(name, usage, candidates),
        CrossSectionFault::Redefined {
            name,
            first,
            second,
        } => vec![blame_redefined(name, first, second, candidates)],
        CrossSectionFault::KeyShared { first, second } => {
            vec![blame_key(first, second, candidates)]
        }
    }
}

fn blame_undefined(
    name: &DefinedName,
    usage: &SectionPosition,
    candidates: &Candidates,
) -> Vec<(SectionName, SectionFault)> {
    let removers = candidates.iter().filter(|(_, candidate)| {
        let replaced = candidate.replaced();
        replaced.is_some_and(|good| good.parsed.outline.defines(name))
    });
    let error = DocumentError::StillUsed {
        name: name.clone(),
        section: usage.section.clone(),
        place: usage.place,
    };
    let fault = SectionFault::new(TextPosition::START, error);
    let mut blamed: Vec<_> = removers
        .map(|(section, _)| (section.clone(), fault.clone()))
        .collect();
    if blamed.is_empty() {
        let error = DocumentError::Undefined { name: name.clone() };
        let fault = SectionFault::new(usage.place, error);
        blamed.push((usage.section.clone(), fault));
    }
    blamed
}

fn blame_redefined(
    name: &DefinedName,
    first: &SectionPosition,
    second: &SectionPosition,
    candidates: &Candidates,
) -> (SectionName, SectionFault) {
    let had = |outline: &SectionOutline| outline.defines(name);
    let (blamed, other) = if holds_first_back(&first.section, &second.section, candidates, had) {
        (first, second)
    } else {
        (second, first)
    };
    let error = DocumentError::Redefined {
        name: name.clone(),
        section: other.section.clone(),
    };
    (
        blamed.section.clone(),
        SectionFault::new(blamed.place, error),
    )
}

fn blame_key(
    first: &(SectionName, KeyEntry),
    second: &(SectionName, KeyEntry),
    candidates: &Candidates,
) -> (SectionName, SectionFault) {
    let digest = first.1.digest;
    let had = |outline: &SectionOutline| has_key(outline, digest);
    let (blamed, other) = if holds_first_back(&first.0, &second.0, candidates, had) {
        (first, second)
    } else {
        (second, first)
    };
    let error = DocumentError::KeyShared {
        workspace: other.1.workspace.clone(),
        caller: other.1.caller.clone(),
    };
    (blamed.0.clone(), SectionFault::new(blamed.1.place, error))
}

fn has_key(outline: &SectionOutline, digest: KeyDigest) -> bool {
    outline.keys.iter().any(|entry| entry.digest == digest)
}

/// Whether only the first section is new to what both now have.
fn holds_first_back(
    first: &SectionName,
    second: &SectionName,
    candidates: &Candidates,
    had: impl Fn(&SectionOutline) -> bool,
) -> bool {
    let is_new_to = |section: &SectionName| {
        candidates.get(section).is_some_and(|candidate| {
            let replaced = candidate.replaced();
            candidate.is_new() && replaced.is_none_or(|good| !had(&good.parsed.outline))
        })
    };
    is_new_to(first) && !is_new_to(second)
}
