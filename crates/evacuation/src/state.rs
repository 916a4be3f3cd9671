//! State of one node, and the set that nodes send one another.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

/// Names of evacuated failure domains, shared between the parts of a node and its messages.
pub type EvacuatedDomains = Arc<BTreeSet<DomainName>>;

/// Evacuated failure domains as of a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationSet {
    /// The domains.
    pub domains: EvacuatedDomains,
    /// Version of the store that the set is of; zero if none was read yet.
    pub as_of: ObjectVersion,
}

/// Difference between two sets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Domains that are evacuated now and were not before.
    pub set: Vec<DomainName>,
    /// Domains whose evacuation has ended.
    pub lifted: Vec<DomainName>,
}

impl EvacuationChange {
    /// Whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty() && self.lifted.is_empty()
    }
}

/// Evacuated failure domains, as a node knows them.
#[derive(Clone, Debug, Default)]
pub struct EvacuationState {
    pub(crate) current: EvacuationSet,
    /// Since when this node has known each evacuated domain as such.
    pub(crate) since: BTreeMap<DomainName, ClockTime>,
    /// When the last evacuation of each other domain ended.
    pub(crate) lifted: BTreeMap<DomainName, ClockTime>,
    /// Domains as this node has last read them in the store itself, which may be older than
    /// `current`. Changes that a watch returns apply to these.
    pub(crate) read: BTreeSet<DomainName>,
}

impl EvacuationState {
    /// State before anything was read or received.
    pub fn new() -> Self {
        Self::default()
    }
}
