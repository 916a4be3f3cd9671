use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

use super::blame::blame;
use super::candidate::SectionCandidate;
use super::cross_faults::{SectionOutlines, cross_faults};
use crate::{Configuration, Document, EffectiveConfig, GoodSections, RejectedSection};

pub(super) type Candidates = BTreeMap<SectionName, SectionCandidate>;

/// Works out what takes effect of a document.
///
/// A section with a fault is held back to its last good version, or left out
/// where there is none, and the others take effect. When a fault lies between
/// sections, the one whose change brought it about is held back.
pub fn effective(document: &Document, last_good: &GoodSections) -> EffectiveConfig {
    let mut candidates = find_candidates(document, last_good);
    while hold_back(&mut candidates) {}
    put_together(&candidates)
}

fn find_candidates(document: &Document, last_good: &GoodSections) -> Candidates {
    let sections = document.sections.keys();
    let unreadable = document.unreadable.keys();
    let names: BTreeSet<_> = sections
        .chain(unreadable)
        .chain(last_good.0.keys())
        .collect();
    let candidates = names.into_iter().map(|name| {
        let good = last_good.0.get(name);
        let candidate = match (document.sections.get(name), document.unreadable.get(name)) {
            (Some(section), _) => SectionCandidate::read(section, good),
            (None, Some(entry)) => SectionCandidate::unreadable(entry, good),
            (None, None) => SectionCandidate::removed(good),
        };
        (name.clone(), candidate)
    });
    candidates.collect()
}

/// Holds back the sections to blame for faults; returns whether there were any.
fn hold_back(candidates: &mut Candidates) -> bool {
    let outlines = candidates
        .iter()
        .filter_map(|(name, candidate)| Some((name, &candidate.standing()?.parsed.outline)));
    let faults = cross_faults(&outlines.collect::<SectionOutlines<'_>>());
    let mut blamed = BTreeSet::new();
    for fault in &faults {
        for (name, fault) in blame(fault, candidates) {
            if let Some(candidate) = candidates.get_mut(&name) {
                candidate.faults.push(fault);
            }
            blamed.insert(name);
        }
    }
    for name in &blamed {
        if let Some(candidate) = candidates.get_mut(name) {
            candidate.hold_back();
        }
    }
    !blamed.is_empty()
}

fn put_together(candidates: &Candidates) -> EffectiveConfig {
    let mut effective = EffectiveConfig::default();
    for (name, candidate) in candidates {
        if let Some(standing) = candidate.standing() {
            extend(&mut effective.configuration, &standing.parsed.configuration);
            effective.good.0.insert(name.clone(), standing.clone());
        }
        if !candidate.faults.is_empty() {
            effective.rejected.push(RejectedSection {
                section: name.clone(),
                revision: candidate.revision,
                in_force: candidate.standing().map(|standing| standing.revision),
                faults: candidate.faults.clone(),
            });
        }
    }
    effective
}

fn extend(configuration: &mut Configuration, part: &Configuration) {
    let Configuration {
        deployments,
        services,
        workspaces,
    } = part.clone();
    configuration.deployments.extend(deployments);
    configuration.services.extend(services);
    configuration.workspaces.extend(workspaces);
}
