//! Directory of all known nodes.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::overlay::{RankPurpose, hash_text, mix_hashes, rank_hash};
use crate::summary::{SetSummary, bucket_of};
use crate::{NodePhase, NodeRecord};

/// Record of a node with the hash of its name.
#[derive(Clone, Debug)]
pub struct NodeEntry {
    pub record: NodeRecord,
    pub hash: u64,
    /// When a suspected node is declared dead, or a dead one dropped.
    pub deadline: Option<ClockTime>,
}

#[derive(Clone, Debug, Default)]
pub struct NodeDirectory {
    entries: BTreeMap<NodeName, NodeEntry>,
    summary: SetSummary,
    next_deadline: Option<ClockTime>,
    /// Until then a difference from a peer's summary is ignored.
    pub settle_at: ClockTime,
}

impl NodeDirectory {
    pub fn get(&self, node: &NodeName) -> Option<&NodeRecord> {
        self.entries.get(node).map(|entry| &entry.record)
    }

    pub fn entries(&self) -> impl Iterator<Item = &NodeEntry> {
        self.entries.values()
    }

    pub fn live(&self) -> impl Iterator<Item = &NodeEntry> {
        self.entries().filter(|entry| is_live(&entry.record))
    }

    pub fn dead(&self) -> impl Iterator<Item = &NodeRecord> {
        self.entries()
            .map(|entry| &entry.record)
            .filter(|record| !is_live(record))
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn summary(&self) -> &SetSummary {
        &self.summary
    }

    pub fn records_in(&self, buckets: &[usize]) -> Vec<NodeRecord> {
        self.entries()
            .filter(|entry| buckets.contains(&bucket_of(entry.hash)))
            .map(|entry| entry.record.clone())
            .collect()
    }

    /// Stores a record if it takes precedence over the known one; returns whether
    /// it did.
    pub fn merge(
        &mut self,
        record: NodeRecord,
        deadline: Option<ClockTime>,
        settle_at: ClockTime,
    ) -> bool {
        let current = self.entries.get(&record.node);
        if current.is_some_and(|current| current.record.precedence() >= record.precedence()) {
            return false;
        }
        if let Some(current) = current.cloned() {
            self.toggle(&current);
        }
        let entry = NodeEntry {
            hash: hash_text(record.node.as_str()),
            record,
            deadline,
        };
        self.toggle(&entry);
        self.next_deadline = self.next_deadline.into_iter().chain(deadline).min();
        self.entries.insert(entry.record.node.clone(), entry);
        self.settle_at = settle_at;
        true
    }

    /// Drops dead nodes and returns suspected ones whose deadlines have passed.
    pub fn expire(&mut self, now: ClockTime) -> Vec<NodeRecord> {
        if self.next_deadline.is_none_or(|deadline| deadline > now) {
            return Vec::new();
        }
        let due = |entry: &NodeEntry| entry.deadline.is_some_and(|deadline| deadline <= now);
        self.entries
            .retain(|_, entry| entry.record.phase != NodePhase::Dead || !due(entry));
        let suspects = self.entries().filter(|entry| due(entry));
        let suspects = suspects.map(|entry| entry.record.clone()).collect();
        let deadlines = self.entries().filter_map(|entry| entry.deadline);
        self.next_deadline = deadlines.filter(|&deadline| deadline > now).min();
        suspects
    }

    pub fn next_deadline(&self) -> Option<ClockTime> {
        self.next_deadline
    }

    /// First live nodes of a failure domain by rank.
    pub fn watchers_of(&self, domain: &DomainName, count: usize) -> Vec<NodeName> {
        let mut ranked: Vec<_> = self
            .live()
            .filter(|entry| entry.record.domain == *domain)
            .map(|entry| {
                (
                    rank_hash(entry.hash, RankPurpose::Watcher),
                    &entry.record.node,
                )
            })
            .collect();
        ranked.sort_unstable();
        let first = ranked.into_iter().take(count);
        first.map(|(_, node)| node.clone()).collect()
    }

    fn toggle(&mut self, entry: &NodeEntry) {
        if is_live(&entry.record) {
            let incarnation = entry.record.incarnation.0;
            self.summary
                .toggle(entry.hash, mix_hashes(entry.hash, incarnation));
        }
    }
}

fn is_live(record: &NodeRecord) -> bool {
    record.phase != NodePhase::Dead
}
