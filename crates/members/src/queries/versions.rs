//! Queries on versions in force, quarantine and readiness.

use base::prelude::*;

use crate::{Item, ItemEntry, ItemKey, PeerState};

/// Proof of the versions that a node held when it became ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadinessProof {
    /// A listing of the store.
    Store,
    /// Ready peers that held the same versions, while the store was down.
    Peers,
}

impl PeerState {
    /// Proof by which this node became ready; `None` while it isn't ready.
    pub fn readiness(&self) -> Option<ReadinessProof> {
        self.readiness
    }

    /// Version of an item in force; `None` if the item is unknown.
    pub fn version(&self, key: &ItemKey) -> Option<ObjectVersion> {
        self.catalog.get(key).map(|held| held.version)
    }

    /// Newest version of an item that peers have announced, proven or not; `None` if none is newer
    /// than the one in force.
    pub fn announced_version(&self, key: &ItemKey) -> Option<ObjectVersion> {
        let proven = self.catalog.pending_fetches.get(key);
        let proven = proven.map(|pending| &pending.entry);
        let announced = self.quarantined().filter(|entry| entry.key == *key);
        announced.chain(proven).map(|entry| entry.version).max()
    }

    /// When the first version of an item newer than this one became known that is still missing;
    /// `None` if none is known.
    ///
    /// One peer alone can't make a version known unless it is a watcher or the only linked one.
    pub fn behind_since(&self, key: &ItemKey, version: ObjectVersion) -> Option<ClockTime> {
        self.notices.behind_since(key, version)
    }

    /// Item in force; `None` if it is unknown.
    pub fn item(&self, key: &ItemKey) -> Option<Item> {
        let held = self.catalog.get(key)?;
        Some(Item {
            key: key.clone(),
            version: held.version,
            body: held.body.clone(),
        })
    }

    /// Entries of all items in force, removed ones included.
    pub fn versions(&self) -> impl Iterator<Item = ItemEntry> {
        self.catalog.entries()
    }

    /// Versions in quarantine: announced by peers and not proven.
    pub fn quarantined(&self) -> impl Iterator<Item = &ItemEntry> {
        self.catalog
            .quarantined()
            .map(|quarantined| &quarantined.entry)
    }

    /// Number of items in force, removed ones included.
    pub fn item_count(&self) -> usize {
        self.catalog.len()
    }
}
