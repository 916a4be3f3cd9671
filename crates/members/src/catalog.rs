//! Items in force, versions in quarantine and bodies still to be fetched.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::overlay::{hash_text, mix_hashes};
use crate::summary::{SetSummary, bucket_of};
use crate::{Item, ItemDigest, ItemEntry, ItemKey};

/// Most versions in quarantine that one peer was the first to announce.
const QUARANTINE_LIMIT_PER_PEER: usize = 1_024;

/// Most proven versions of an item that are remembered while a newer one is fetched.
const MAX_SUPERSEDED_VERSIONS: usize = 4;

/// Item in force; only newer versions of its key are accepted.
#[derive(Clone, Debug)]
pub struct HeldItem {
    pub version: ObjectVersion,
    pub digest: ItemDigest,
    pub body: Option<Arc<str>>,
}

/// Announced version that is not proven yet.
#[derive(Clone, Debug)]
pub struct QuarantinedVersion {
    pub entry: ItemEntry,
    /// Peers that announced the version, the first one first.
    pub witnesses: Vec<NodeName>,
    pub confirm_at: ClockTime,
    pub expires_at: ClockTime,
    pub attempts: u32,
}

/// Proven version whose body is still to be fetched.
#[derive(Clone, Debug)]
pub struct PendingFetch {
    pub entry: ItemEntry,
    /// Peers known to have the version.
    pub holders: Vec<NodeName>,
    pub retry_at: ClockTime,
    /// Requests that had no answer.
    pub attempts: usize,
    /// Peer that was asked last.
    pub asked: Option<NodeName>,
    /// Earlier versions that were proven, whose bodies may still arrive.
    pub superseded: Vec<ItemEntry>,
}

impl PendingFetch {
    /// Fetch of a proven version, due at once.
    pub fn new(entry: ItemEntry, holders: Vec<NodeName>, now: ClockTime) -> Self {
        Self {
            entry,
            holders,
            retry_at: now,
            attempts: 0,
            asked: None,
            superseded: Vec::new(),
        }
    }

    /// Whether a version is proven: the one to fetch or an earlier one.
    pub fn is_proven(&self, entry: &ItemEntry) -> bool {
        self.entry == *entry || self.superseded.contains(entry)
    }

    /// Remembers the versions of the fetch that this one replaces, the newest ones first.
    pub fn supersede(&mut self, former: PendingFetch) {
        self.superseded = vec![former.entry];
        self.superseded.extend(former.superseded);
        self.superseded.truncate(MAX_SUPERSEDED_VERSIONS);
    }
}

/// Comparison of a version with the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOrder {
    Newer,
    Same,
    Older,
    OtherDigest,
}

#[derive(Clone, Debug, Default)]
pub struct ItemCatalog {
    held: BTreeMap<ItemKey, HeldItem>,
    summary: SetSummary,
    quarantine: BTreeMap<ItemKey, Vec<QuarantinedVersion>>,
    /// Number of quarantined versions that each peer was the first to announce.
    first_announced: BTreeMap<NodeName, usize>,
    pub pending_fetches: BTreeMap<ItemKey, PendingFetch>,
    /// Until then a difference from a peer's summary is ignored.
    pub settle_at: ClockTime,
}

impl ItemCatalog {
    pub fn get(&self, key: &ItemKey) -> Option<&HeldItem> {
        self.held.get(key)
    }

    pub fn entry(&self, key: &ItemKey) -> Option<ItemEntry> {
        let held = self.held.get(key)?;
        Some(ItemEntry {
            key: key.clone(),
            version: held.version,
            digest: held.digest,
        })
    }

    pub fn entries(&self) -> impl Iterator<Item = ItemEntry> {
        self.held.keys().filter_map(|key| self.entry(key))
    }

    pub fn entries_in(&self, buckets: &[usize]) -> Vec<ItemEntry> {
        self.entries()
            .filter(|entry| buckets.contains(&bucket_of(hash_key(&entry.key))))
            .collect()
    }

    pub fn summary(&self) -> &SetSummary {
        &self.summary
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn compare(&self, entry: &ItemEntry) -> VersionOrder {
        let Some(held) = self.held.get(&entry.key) else {
            return VersionOrder::Newer;
        };
        if entry.version > held.version {
            VersionOrder::Newer
        } else if entry.version < held.version {
            VersionOrder::Older
        } else if entry.digest == held.digest {
            VersionOrder::Same
        } else {
            VersionOrder::OtherDigest
        }
    }

    /// Puts a version into force if it is newer than the one in force; returns
    /// whether it was.
    pub fn install(&mut self, item: &Item, settle_at: ClockTime) -> bool {
        let entry = item.entry();
        if self.compare(&entry) != VersionOrder::Newer {
            return false;
        }
        if let Some(old) = self.entry(&entry.key) {
            self.summary.toggle(hash_key(&old.key), hash_entry(&old));
        }
        self.summary
            .toggle(hash_key(&entry.key), hash_entry(&entry));
        let held = HeldItem {
            version: entry.version,
            digest: entry.digest,
            body: item.body.clone(),
        };
        self.held.insert(entry.key.clone(), held);
        self.settle_at = settle_at;
        self.drop_superseded(&entry);
        true
    }

    fn drop_superseded(&mut self, entry: &ItemEntry) {
        self.retain_quarantined(&entry.key, |version| version.entry.version > entry.version);
        if let Some(pending) = self.pending_fetches.get(&entry.key)
            && pending.entry.version <= entry.version
        {
            self.pending_fetches.remove(&entry.key);
        }
    }

    fn retain_quarantined(&mut self, key: &ItemKey, keep: impl Fn(&QuarantinedVersion) -> bool) {
        let Some(versions) = self.quarantine.remove(key) else {
            return;
        };
        let (kept, dropped): (Vec<_>, Vec<_>) = versions.into_iter().partition(keep);
        for version in dropped {
            self.update_first_announced(&version.witnesses[0], usize::saturating_sub);
        }
        if !kept.is_empty() {
            self.quarantine.insert(key.clone(), kept);
        }
    }

    fn update_first_announced(&mut self, witness: &NodeName, change: fn(usize, usize) -> usize) {
        let count = self.first_announced.entry(witness.clone()).or_default();
        *count = change(*count, 1);
        if *count == 0 {
            self.first_announced.remove(witness);
        }
    }

    pub fn quarantined(&self) -> impl Iterator<Item = &QuarantinedVersion> {
        self.quarantine.values().flatten()
    }

    pub fn quarantined_mut(&mut self) -> impl Iterator<Item = &mut QuarantinedVersion> {
        self.quarantine.values_mut().flatten()
    }

    /// Drops versions that were not confirmed in time.
    pub fn expire_quarantine(&mut self, now: ClockTime) {
        let due = self
            .quarantined()
            .filter(|version| version.expires_at <= now);
        let keys: Vec<_> = due.map(|version| version.entry.key.clone()).collect();
        for key in keys {
            self.retain_quarantined(&key, |version| version.expires_at > now);
        }
    }

    /// Records that a peer announced a version; returns all peers that did.
    ///
    /// A new version is not stored if the peer has reached its quarantine limit.
    pub fn add_witness(
        &mut self,
        entry: &ItemEntry,
        witness: &NodeName,
        confirm_at: ClockTime,
        expires_at: ClockTime,
    ) -> Vec<NodeName> {
        let versions = self.quarantine.get_mut(&entry.key).into_iter().flatten();
        if let Some(version) = versions.into_iter().find(|version| version.entry == *entry) {
            if !version.witnesses.contains(witness) {
                version.witnesses.push(witness.clone());
            }
            return version.witnesses.clone();
        }
        let witnesses = vec![witness.clone()];
        let count = self.first_announced.get(witness).copied().unwrap_or(0);
        if count < QUARANTINE_LIMIT_PER_PEER {
            self.update_first_announced(witness, usize::saturating_add);
            let version = QuarantinedVersion {
                entry: entry.clone(),
                witnesses: witnesses.clone(),
                confirm_at,
                expires_at,
                attempts: 0,
            };
            self.quarantine
                .entry(entry.key.clone())
                .or_default()
                .push(version);
        }
        witnesses
    }
}

pub fn hash_key(key: &ItemKey) -> u64 {
    match key {
        ItemKey::Section(section) => mix_hashes(hash_text(section.as_str()), 1),
        ItemKey::Fabric(fabric) => mix_hashes(hash_text(fabric.as_str()), 2),
    }
}

fn hash_entry(entry: &ItemEntry) -> u64 {
    let versioned = mix_hashes(hash_key(&entry.key), entry.version.0);
    mix_hashes(versioned, entry.digest.prefix())
}
