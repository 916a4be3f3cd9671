//! Versions of the configuration that a process knows to exist and has not got.

use std::collections::VecDeque;

use base::prelude::*;

/// Largest number of versions that are kept; the oldest ones decide how late a process is.
const MAX_VERSIONS: usize = 64;

/// Versions newer than the one in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigNotices {
    /// Versions and when each became known, oldest first.
    missing: VecDeque<(u64, ClockTime)>,
    /// Newest version that the store doesn't have, although it was named.
    disproved: u64,
}

impl ConfigNotices {
    /// Records that a version exists, if it is newer than the one in force and all known ones.
    pub fn record(&mut self, version: u64, in_force: u64, now: ClockTime) {
        let newest = self.newest().unwrap_or(0);
        let known = newest.max(in_force).max(self.disproved);
        if version > known && self.missing.len() < MAX_VERSIONS {
            self.missing.push_back((version, now));
        }
    }

    /// Forgets the versions that became known before an instant, as the store has been read since
    /// and has none of them that can be used.
    pub fn disprove(&mut self, known_before: ClockTime) {
        while let Some((version, since)) = self.missing.front().copied()
            && since < known_before
        {
            self.disproved = version;
            self.missing.pop_front();
        }
    }

    /// Forgets the versions up to one that is in force now; returns since when it was known.
    pub fn apply(&mut self, version: u64) -> Option<ClockTime> {
        let mut known_since = None;
        while let Some((known, since)) = self.missing.front().copied()
            && known <= version
        {
            known_since.get_or_insert(since);
            self.missing.pop_front();
        }
        known_since
    }

    /// Since when a version has been known that is not in force; `None` if the newest one is.
    pub fn behind_since(&self) -> Option<ClockTime> {
        self.missing.front().map(|(_, since)| *since)
    }

    /// Newest version that is known and not in force.
    pub fn newest(&self) -> Option<u64> {
        self.missing.back().map(|(version, _)| *version)
    }
}
