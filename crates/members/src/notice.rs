//! Versions that this node knows to exist, whether it has them or not.
//!
//! A version is known before its body arrives, and sooner at nodes far from the store, as its number
//! travels ahead of it. It counts from the moment at which its announcements prove it, or would if
//! this node didn't rely on the store. It ends when it or a newer one is in force, or when a later
//! read of the store has not brought it.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{ItemEntry, ItemKey};

/// Most versions of an item that are kept; the oldest is left out first.
const MAX_VERSIONS: usize = 8;
/// Most items with such versions.
const MAX_ITEMS: usize = 1_024;

/// Version that is not in force.
#[derive(Clone, Debug)]
struct NoticedVersion {
    entry: ItemEntry,
    /// Peers that know of it.
    witnesses: Vec<NodeName>,
    /// When it was proven, or announced by as many peers as prove a version.
    known_since: Option<ClockTime>,
    expires_at: ClockTime,
}

/// Versions that are known and not in force.
#[derive(Clone, Debug, Default)]
pub struct VersionNotices {
    versions: BTreeMap<ItemKey, Vec<NoticedVersion>>,
}

impl VersionNotices {
    /// Adds a peer that knows of a version; returns how many do.
    pub fn add_witness(
        &mut self,
        entry: &ItemEntry,
        witness: &NodeName,
        expires_at: ClockTime,
    ) -> usize {
        let Some(version) = self.version_mut(entry, expires_at) else {
            return 0;
        };
        if !version.witnesses.contains(witness) {
            version.witnesses.push(witness.clone());
        }
        version.witnesses.len()
    }

    /// Notes that a version is known to exist; returns whether that is new.
    pub fn confirm(&mut self, entry: &ItemEntry, now: ClockTime, expires_at: ClockTime) -> bool {
        let Some(version) = self.version_mut(entry, expires_at) else {
            return false;
        };
        let is_new = version.known_since.is_none();
        version.known_since.get_or_insert(now);
        is_new
    }

    fn version_mut(
        &mut self,
        entry: &ItemEntry,
        expires_at: ClockTime,
    ) -> Option<&mut NoticedVersion> {
        if !self.versions.contains_key(&entry.key) && self.versions.len() >= MAX_ITEMS {
            return None;
        }
        let versions = self.versions.entry(entry.key.clone()).or_default();
        let position = versions.iter().position(|version| version.entry == *entry);
        if position.is_none() {
            versions.push(NoticedVersion {
                entry: entry.clone(),
                witnesses: Vec::new(),
                known_since: None,
                expires_at,
            });
            versions.sort_by_key(|version| version.entry.version);
            leave_out_oldest(versions);
        }
        versions.iter_mut().find(|version| version.entry == *entry)
    }

    /// When the first version of an item newer than this one became known.
    pub fn behind_since(&self, key: &ItemKey, version: ObjectVersion) -> Option<ClockTime> {
        let versions = self.versions.get(key).into_iter().flatten();
        let newer = versions.filter(|known| known.entry.version > version);
        newer.filter_map(|known| known.known_since).min()
    }

    /// Drops the versions of an item up to the one that is in force now.
    pub fn drop_applied(&mut self, key: &ItemKey, in_force: ObjectVersion) {
        self.retain(key, |version| version.entry.version > in_force);
    }

    /// Drops the versions of an item that were known before an instant, as a read that began later
    /// has not brought them.
    pub fn disprove(&mut self, key: &ItemKey, known_before: ClockTime) {
        self.retain(key, |version| {
            version
                .known_since
                .is_none_or(|since| since >= known_before)
        });
    }

    fn retain(&mut self, key: &ItemKey, keep: impl Fn(&NoticedVersion) -> bool) {
        let Some(versions) = self.versions.get_mut(key) else {
            return;
        };
        versions.retain(keep);
        if versions.is_empty() {
            self.versions.remove(key);
        }
    }

    /// Drops versions that have not come for long.
    pub fn expire(&mut self, now: ClockTime) {
        self.versions.retain(|_, versions| {
            versions.retain(|version| version.expires_at > now);
            !versions.is_empty()
        });
    }
}

/// Keeps the newest versions. However fast they follow one another, the time since the first of
/// them counts.
fn leave_out_oldest(versions: &mut Vec<NoticedVersion>) {
    while versions.len() > MAX_VERSIONS {
        let oldest = versions.remove(0);
        let next = &mut versions[0].known_since;
        *next = next.iter().chain(&oldest.known_since).min().copied();
    }
}
