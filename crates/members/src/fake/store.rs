//! In-memory store with the calls that the peer layer makes.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{Item, ItemKey, StoreListing};

/// Items by key, and a count of the calls in each second.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    items: BTreeMap<ItemKey, Item>,
    version: ObjectVersion,
    calls: BTreeMap<u64, u64>,
}

impl FakeStore {
    /// Writes an item and returns its version.
    pub fn write(&mut self, key: ItemKey, body: Option<Arc<str>>) -> ObjectVersion {
        self.version = self.version.next();
        let item = Item {
            key: key.clone(),
            version: self.version,
            body,
        };
        self.items.insert(key, item);
        self.version
    }

    /// Version of the newest write.
    pub fn version(&self) -> ObjectVersion {
        self.version
    }

    /// Current items.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Current version of one item.
    pub fn item(&self, key: &ItemKey) -> Option<&Item> {
        self.items.get(key)
    }

    /// Listing of all items.
    pub fn listing(&self) -> StoreListing {
        StoreListing {
            version: self.version,
            entries: self.items.values().map(Item::entry).collect(),
        }
    }

    /// Number of calls in the busiest second since an instant.
    pub fn busiest_second(&self, since: ClockTime) -> u64 {
        let seconds = self.calls.range(since.0 / 1_000_000..);
        seconds.map(|(_, calls)| *calls).max().unwrap_or(0)
    }

    /// Number of calls since an instant.
    pub fn calls(&self, since: ClockTime) -> u64 {
        let seconds = self.calls.range(since.0 / 1_000_000..);
        seconds.map(|(_, calls)| *calls).sum()
    }

    pub(super) fn count_call(&mut self, now: ClockTime) {
        *self.calls.entry(now.0 / 1_000_000).or_default() += 1;
    }
}
