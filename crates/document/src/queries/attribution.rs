//! Attribution of a fault between sections to the section that caused it.
//!
//! The last good versions are consistent with one another, so a fault is caused
//! by a section that changed: by the one that removed a name, or by the one that
//! defines it a second time. If several changed sections define the same name,
//! the first one by section name takes effect.

use base::prelude::*;

use super::cross_section_faults::{CrossSectionFault, SectionPosition};
use super::effective_config::Candidates;
use crate::{
    DefinedName, DocumentError, KeyDigest, KeyEntry, SectionFault, SectionOutline, TextPosition,
};

/// Sections that cause a fault, each with the fault as reported to its owner.
pub fn attribute_fault(
    fault: &CrossSectionFault,
    candidates: &Candidates,
) -> Vec<(SectionName, SectionFault)> {
    match fault {
        CrossSectionFault::Undefined { name, usage } => {
            attribute_undefined(name, usage, candidates)
        }
        CrossSectionFault::Redefined {
            name,
            first,
            second,
        } => vec![attribute_redefined(name, first, second, candidates)],
        CrossSectionFault::KeyShared { first, second } => {
            vec![attribute_shared_key(first, second, candidates)]
        }
    }
}

fn attribute_undefined(
    name: &DefinedName,
    usage: &SectionPosition,
    candidates: &Candidates,
) -> Vec<(SectionName, SectionFault)> {
    let removers = candidates.iter().filter(|(_, candidate)| {
        let superseded = candidate.superseded();
        superseded.is_some_and(|good| good.parsed.outline.defines(name))
    });
    let error = DocumentError::StillUsed {
        name: name.clone(),
        section: usage.section.clone(),
        position: usage.position,
    };
    let fault = SectionFault::new(TextPosition::START, error);
    let mut causes: Vec<_> = removers
        .map(|(section, _)| (section.clone(), fault.clone()))
        .collect();
    if causes.is_empty() {
        let error = DocumentError::Undefined { name: name.clone() };
        let fault = SectionFault::new(usage.position, error);
        causes.push((usage.section.clone(), fault));
    }
    causes
}

fn attribute_redefined(
    name: &DefinedName,
    first: &SectionPosition,
    second: &SectionPosition,
    candidates: &Candidates,
) -> (SectionName, SectionFault) {
    let contains = |outline: &SectionOutline| outline.defines(name);
    let (cause, other) =
        if is_first_the_cause(&first.section, &second.section, candidates, contains) {
            (first, second)
        } else {
            (second, first)
        };
    let error = DocumentError::Redefined {
        name: name.clone(),
        section: other.section.clone(),
    };
    (
        cause.section.clone(),
        SectionFault::new(cause.position, error),
    )
}

fn attribute_shared_key(
    first: &(SectionName, KeyEntry),
    second: &(SectionName, KeyEntry),
    candidates: &Candidates,
) -> (SectionName, SectionFault) {
    let digest = first.1.digest;
    let contains = |outline: &SectionOutline| has_key(outline, digest);
    let (cause, other) = if is_first_the_cause(&first.0, &second.0, candidates, contains) {
        (first, second)
    } else {
        (second, first)
    };
    let error = DocumentError::KeyShared {
        workspace: other.1.workspace.clone(),
        caller: other.1.caller.clone(),
    };
    (cause.0.clone(), SectionFault::new(cause.1.position, error))
}

fn has_key(outline: &SectionOutline, digest: KeyDigest) -> bool {
    outline.keys.iter().any(|entry| entry.digest == digest)
}

/// Whether the first section introduced what both now have and the second didn't.
fn is_first_the_cause(
    first: &SectionName,
    second: &SectionName,
    candidates: &Candidates,
    contains: impl Fn(&SectionOutline) -> bool,
) -> bool {
    let has_introduced = |section: &SectionName| {
        candidates.get(section).is_some_and(|candidate| {
            let superseded = candidate.superseded();
            candidate.is_new() && superseded.is_none_or(|good| !contains(&good.parsed.outline))
        })
    };
    has_introduced(first) && !has_introduced(second)
}
