//! Evacuated failure domains: what this node reads in the store or hears from other nodes, and what
//! follows from it.

use std::collections::BTreeSet;

use base::prelude::*;
use evacuation::EvacuationChange;
use evacuation::commands::{apply_changes, apply_list, merge};
use evacuation::queries::{current_set, evacuated_domains};

use super::collections::log_unreadable;
use crate::border::ports::{CollectionChange, CollectionItem};
use crate::peer::Digest;
use crate::queries::longest_cold_start;
use crate::{CollectionEvent, EdgeEffect, EdgeState};

/// Applies the result of listing or watching the evacuations.
pub(super) fn apply_evacuations(
    state: &mut EdgeState,
    event: CollectionEvent,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let change = match event {
        CollectionEvent::Listed(items, as_of) => {
            let domains: BTreeSet<_> = items.into_iter().filter_map(evacuated_domain).collect();
            apply_list(&mut state.evacuations, domains, as_of, now)
        }
        CollectionEvent::Changed(changes, as_of) => {
            let changes = changes.into_iter().filter_map(|change| match change {
                CollectionChange::Put(item) => Some((evacuated_domain(item)?, true)),
                CollectionChange::Removed(name) => Some((DomainName::external(&name).ok()?, false)),
            });
            apply_changes(&mut state.evacuations, changes, as_of, now)
        }
        CollectionEvent::Unavailable => return Vec::new(),
    };
    use_change(state, &change, "store", now)
}

fn evacuated_domain(item: CollectionItem) -> Option<DomainName> {
    match item {
        CollectionItem::Evacuation(domain) => Some(domain),
        other => {
            log_unreadable(&other, "it evacuates no failure domain");
            None
        }
    }
}

/// Adopts the set of another node if it is newer.
pub(super) fn merge_evacuations(
    state: &mut EdgeState,
    digest: &Digest,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let Some(set) = &digest.evacuations else {
        return Vec::new();
    };
    if state.settings.bounds.evacuate.is_none() {
        return Vec::new();
    }
    let change = merge(&mut state.evacuations, set, now);
    use_change(state, &change, digest.from.as_str(), now)
}

/// Logs what has changed and applies it to requests and groups; other nodes are told at once.
fn use_change(
    state: &mut EdgeState,
    change: &EvacuationChange,
    source: &str,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    if change.is_empty() {
        return Vec::new();
    }
    let revision = current_set(&state.evacuations)
        .map(|set| set.as_of)
        .unwrap_or_default();
    for domain in &change.set {
        let targets = state.targets.iter();
        let targets = targets.filter(|target| target.domain == *domain);
        let servers: Vec<_> = targets.map(|target| target.id.as_str()).collect();
        log::info!(domain:% = domain, revision:% = revision, source, servers = servers.join(","); "failure domain evacuated");
    }
    for domain in &change.lifted {
        log::info!(domain:% = domain, revision:% = revision, source; "evacuation ended");
        // Its servers may have become cold shortly before.
        if let Some(duration) = longest_cold_start(state) {
            state.mark_domain_cold(domain, now + duration);
        }
    }
    state.digest_due = state.digest_due.min(now);
    apply_evacuated_domains(state)
}

/// Hands the evacuated domains to the parts that act on them; none if the settings don't ask for
/// evacuations.
pub(super) fn apply_evacuated_domains(state: &mut EdgeState) -> Vec<EdgeEffect> {
    let domains = match state.settings.bounds.evacuate {
        Some(_) => evacuated_domains(&state.evacuations).clone(),
        None => Arc::default(),
    };
    relay::commands::set_evacuated(&mut state.relay, domains.clone());
    let count = domains.len();
    replicas::commands::set_evacuated(&mut state.planner, domains);
    state.needs_plan = true;
    vec![EdgeEffect::ReportEvacuated(count)]
}

/// Counts the targets that were left out since the last time.
pub(crate) fn count_evacuation_skips(state: &mut EdgeState) -> Option<EdgeEffect> {
    let count = relay::commands::take_evacuation_skips(&mut state.relay);
    (count > 0).then_some(EdgeEffect::CountEvacuationSkips(count))
}
