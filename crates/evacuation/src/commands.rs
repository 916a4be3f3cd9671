//! Commands that change the evacuated domains.

use std::collections::BTreeSet;

use base::prelude::*;

use crate::{EvacuationChange, EvacuationSet, EvacuationState};

/// Largest number of domains whose last end of an evacuation is kept.
const MAX_LIFTED: usize = 256;

/// Replaces the set if another one is newer, and returns what has changed.
pub fn apply(
    state: &mut EvacuationState,
    domains: BTreeSet<DomainName>,
    as_of: ObjectVersion,
    now: ClockTime,
) -> EvacuationChange {
    if as_of <= state.current.as_of {
        return EvacuationChange::default();
    }
    state.current.as_of = as_of;
    if domains == *state.current.domains {
        return EvacuationChange::default();
    }
    let before = std::mem::replace(&mut state.current.domains, Arc::new(domains));
    let domains = &state.current.domains;
    let change = EvacuationChange {
        set: domains.difference(&before).cloned().collect(),
        lifted: before.difference(domains).cloned().collect(),
    };
    for domain in &change.set {
        state.lifted.remove(domain);
        state.since.insert(domain.clone(), now);
    }
    for domain in &change.lifted {
        state.since.remove(domain);
        state.lifted.insert(domain.clone(), now);
    }
    while state.lifted.len() > MAX_LIFTED {
        let oldest = state.lifted.iter().min_by_key(|(_, at)| **at);
        let Some(oldest) = oldest.map(|(domain, _)| domain.clone()) else {
            break;
        };
        state.lifted.remove(&oldest);
    }
    change
}

/// Applies a set that another node has sent.
pub fn merge(state: &mut EvacuationState, set: &EvacuationSet, now: ClockTime) -> EvacuationChange {
    if set.as_of <= state.current.as_of {
        return EvacuationChange::default();
    }
    apply(state, BTreeSet::clone(&set.domains), set.as_of, now)
}

/// Applies a list that this node has read in the store.
pub fn apply_list(
    state: &mut EvacuationState,
    domains: BTreeSet<DomainName>,
    as_of: ObjectVersion,
    now: ClockTime,
) -> EvacuationChange {
    state.read.clone_from(&domains);
    apply(state, domains, as_of, now)
}

/// Applies changes that follow this node's last read of the store: domains, and whether each is
/// evacuated from then on.
pub fn apply_changes(
    state: &mut EvacuationState,
    changes: impl IntoIterator<Item = (DomainName, bool)>,
    as_of: ObjectVersion,
    now: ClockTime,
) -> EvacuationChange {
    for (domain, is_evacuated) in changes {
        if is_evacuated {
            state.read.insert(domain);
        } else {
            state.read.remove(&domain);
        }
    }
    apply(state, state.read.clone(), as_of, now)
}
