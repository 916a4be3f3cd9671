//! Servers that the platform's store no longer offers.
//!
//! A node that reads so tells the others, as their own view of the servers may be older: their
//! reads take longer, or the targets that they were sent come from before. A departure holds at a
//! node until its view is as new as the read; from then on the view decides, so that an entry that
//! is back is used again.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use base::prelude::*;

use crate::{ReportScope, ServerRun};

/// Time in which a departure is sent to other nodes, longer than any of them may be late.
const REPORTED_TIME: Duration = Duration::from_secs(15);
/// Time after which a departure is dropped; the server ends within that time.
const VALIDITY: Duration = Duration::from_secs(120);
/// Largest number of servers whose departures are kept.
const MAX_ENTRIES: usize = 5_000;

/// Departure of a server, as a node has read it in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Run of the server.
    pub run: ServerRun,
    /// Revision of the store up to which the node had read.
    pub revision: ObjectVersion,
    /// Instant at which the node read it.
    pub read_at: ClockTime,
}

/// Departure that is known to a node.
#[derive(Clone, Debug)]
struct DepartureEntry {
    departure: Departure,
    /// Whether this node has read it itself.
    is_own: bool,
    /// Number of messages that had it.
    told: u32,
}

/// Departures that a node knows.
#[derive(Clone, Debug, Default)]
pub struct DepartureState {
    entries: BTreeMap<HostName, DepartureEntry>,
}

impl DepartureState {
    /// State without departures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds what this node has read itself, or what another one has; returns whether it is news.
    pub fn record(&mut self, departure: Departure, is_own: bool) -> bool {
        let server = &departure.run.server;
        let known = self.entries.get(server);
        let is_known = known.is_some_and(|known| known.departure.revision >= departure.revision);
        if is_known || (known.is_none() && self.entries.len() >= MAX_ENTRIES) {
            return false;
        }
        let entry = DepartureEntry {
            departure,
            is_own,
            told: 0,
        };
        self.entries
            .insert(entry.departure.run.server.clone(), entry);
        true
    }

    /// Drops departures that are over.
    pub fn expire(&mut self, now: ClockTime) {
        self.entries
            .retain(|_, entry| now.since(entry.departure.read_at) < VALIDITY);
    }

    /// Whether a run of a server has departed after this revision.
    pub fn has_departed(
        &self,
        server: &HostName,
        incarnation: HostIncarnation,
        revision: ObjectVersion,
    ) -> bool {
        self.entries.get(server).is_some_and(|entry| {
            let departure = &entry.departure;
            departure.run.incarnation == incarnation && departure.revision > revision
        })
    }

    /// Recent departures for the next message to other nodes, at most this many, those told least
    /// often first and of these the last ones.
    pub fn reported(&mut self, scope: ReportScope, limit: usize, now: ClockTime) -> Vec<Departure> {
        let entries = self.entries.values_mut();
        let recent = entries.filter(|entry| {
            (entry.is_own || scope == ReportScope::All)
                && now.since(entry.departure.read_at) < REPORTED_TIME
        });
        let mut recent: Vec<_> = recent.collect();
        recent.sort_by_key(|entry| (entry.told, Reverse(entry.departure.read_at)));
        let reported = recent.into_iter().take(limit).map(|entry| {
            entry.told += 1;
            entry.departure.clone()
        });
        reported.collect()
    }
}
