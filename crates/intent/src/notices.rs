//! Versions of the configuration that a process knows to exist and has not got.

use std::collections::VecDeque;

use base::prelude::*;

/// Largest number of versions that are kept; the oldest ones decide how late a process is.
const MAX_VERSIONS: usize = 64;

/// Versions newer than the one in force, and when each became known, oldest first.
#[derive(Clone, Debug, Default)]
pub struct ConfigNotices(VecDeque<(u64, ClockTime)>);

impl ConfigNotices {
    /// Records that a version exists, if it is newer than the one in force and all known ones.
    pub fn record(&mut self, version: u64, in_force: u64, now: ClockTime) {
        let newest = self.0.back().map_or(in_force, |(newest, _)| *newest);
        if version > newest.max(in_force) && self.0.len() < MAX_VERSIONS {
            self.0.push_back((version, now));
        }
    }

    /// Forgets the versions up to one that is in force now; returns since when it was known.
    pub fn apply(&mut self, version: u64) -> Option<ClockTime> {
        let mut known_since = None;
        while let Some((known, since)) = self.0.front().copied()
            && known <= version
        {
            known_since.get_or_insert(since);
            self.0.pop_front();
        }
        known_since
    }

    /// Since when a version has been known that is not in force; `None` if the newest one is.
    pub fn behind_since(&self) -> Option<ClockTime> {
        self.0.front().map(|(_, since)| *since)
    }

    /// Newest version that is known and not in force.
    pub fn newest(&self) -> Option<u64> {
        self.0.back().map(|(version, _)| *version)
    }
}
