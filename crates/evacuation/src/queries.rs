//! Queries that only read the evacuated domains.

use base::prelude::*;

use crate::{EvacuatedDomains, EvacuationSet, EvacuationState};

/// Whether nothing may be sent to the servers of a failure domain.
pub fn is_evacuated(state: &EvacuationState, domain: &DomainName) -> bool {
    state.current.domains.contains(domain)
}

/// Since when this node has known a domain to be evacuated; `None` if it isn't.
pub fn evacuated_since(state: &EvacuationState, domain: &DomainName) -> Option<ClockTime> {
    state.since.get(domain).copied()
}

/// When this node learned that the last evacuation of a domain had ended; `None` if it is evacuated
/// now or this node knows of no earlier evacuation.
pub fn lifted_at(state: &EvacuationState, domain: &DomainName) -> Option<ClockTime> {
    state.lifted.get(domain).copied()
}

/// Domains that are evacuated.
pub fn evacuated_domains(state: &EvacuationState) -> &EvacuatedDomains {
    &state.current.domains
}

/// Newest set, for messages to other nodes; `None` if none was read or received yet.
pub fn current_set(state: &EvacuationState) -> Option<&EvacuationSet> {
    state.current.as_of.exists().then_some(&state.current)
}

/// Whether this node knows which domains are evacuated.
pub fn is_known(state: &EvacuationState) -> bool {
    current_set(state).is_some()
}
