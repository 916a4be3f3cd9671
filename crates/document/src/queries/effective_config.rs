use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

use super::attribution::attribute_fault;
use super::candidate::SectionCandidate;
use super::cross_section_faults::{SectionOutlines, cross_section_faults};
use crate::{Configuration, Document, EffectiveConfig, GoodSections, RejectedSection};

pub(super) type Candidates = BTreeMap<SectionName, SectionCandidate>;

/// Resolves the configuration that a document results in.
///
/// A section with a fault is replaced by its last good version, or left out if
/// there is none; the other sections take effect. For a fault between sections,
/// the section whose change caused it is replaced.
pub fn effective_config(document: &Document, last_good: &GoodSections) -> EffectiveConfig {
    let mut candidates = collect_candidates(document, last_good);
    while fall_back(&mut candidates) {}
    combine(&candidates)
}

fn collect_candidates(document: &Document, last_good: &GoodSections) -> Candidates {
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

/// Falls back from the sections that cause faults; returns whether there were any.
///
/// To be repeated until it returns false, because a fallback can cause new faults
/// between sections.
fn fall_back(candidates: &mut Candidates) -> bool {
    let outlines = candidates
        .iter()
        .filter_map(|(name, candidate)| Some((name, &candidate.selected()?.parsed.outline)));
    let faults = cross_section_faults(&outlines.collect::<SectionOutlines<'_>>());
    let mut causes = BTreeSet::new();
    for fault in &faults {
        for (name, fault) in attribute_fault(fault, candidates) {
            if let Some(candidate) = candidates.get_mut(&name) {
                candidate.faults.push(fault);
            }
            causes.insert(name);
        }
    }
    for name in &causes {
        if let Some(candidate) = candidates.get_mut(name) {
            candidate.fall_back();
        }
    }
    !causes.is_empty()
}

fn combine(candidates: &Candidates) -> EffectiveConfig {
    let mut effective = EffectiveConfig::default();
    for (name, candidate) in candidates {
        if let Some(selected) = candidate.selected() {
            extend(&mut effective.configuration, &selected.parsed.configuration);
            effective.good.0.insert(name.clone(), selected.clone());
        }
        if !candidate.faults.is_empty() {
            effective.rejected.push(RejectedSection {
                section: name.clone(),
                revision: candidate.revision,
                in_force: candidate.selected().map(|selected| selected.revision),
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
