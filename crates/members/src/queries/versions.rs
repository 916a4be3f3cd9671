//! Which versions are in force here, and what proves them.

use base::prelude::*;

use crate::{Item, ItemEntry, ItemKey, PeerState};

/// What proved that a node held the newest versions when it became ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadinessProof {
    /// A listing of the store.
    Store,
    /// Ready peers that held the same, while the store was down.
    Peers,
}

impl PeerState {
    /// Proof by which this node became ready; none while it is not.
    pub fn readiness(&self) -> Option<ReadinessProof> {
        self.readiness
    }

    /// Version in force.
    pub fn version(&self, key: &ItemKey) -> Option<ObjectVersion> {
        self.catalog.get(key).map(|held| held.version)
    }

    /// Item in force.
    pub fn item(&self, key: &ItemKey) -> Option<Item> {
        let held = self.catalog.get(key)?;
        Some(Item {
            key: key.clone(),
            version: held.version,
            body: held.body.clone(),
        })
    }

    /// Versions in force.
    pub fn versions(&self) -> impl Iterator<Item = ItemEntry> {
        self.catalog.entries()
    }

    /// Versions that peers speak of and nothing proves.
    pub fn quarantined(&self) -> impl Iterator<Item = &ItemEntry> {
        self.catalog
            .quarantined()
            .map(|quarantined| &quarantined.entry)
    }

    /// Items held, removed ones included.
    pub fn item_count(&self) -> usize {
        self.catalog.len()
    }
}
