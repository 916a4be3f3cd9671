//! Finding out what two nodes hold differently.

use base::prelude::*;

use crate::{BucketReport, PeerEffect, PeerMessage, PeerState, PeerSummary};

/// Most entries in one frame.
const ENTRIES_PER_FRAME: usize = 512;

impl PeerState {
    /// Starts a comparison if the hashes differ and nothing is on its way.
    ///
    /// Of two ready peers the one with the lower name starts; a node that isn't
    /// ready starts with ready ones, and nobody compares items with it.
    pub(crate) fn compare_summaries(
        &self,
        from: &NodeName,
        summary: PeerSummary,
        now: ClockTime,
    ) -> Option<PeerEffect> {
        let is_ready = self.readiness.is_some();
        let is_other_end = self.links.contains_key(from) && self.own.node > *from;
        if is_ready && is_other_end {
            return None;
        }
        let items = self.catalog.summary();
        let nodes = self.directory.summary();
        let is_settled = self.catalog.settle_at <= now && self.catalog.wanted.is_empty();
        let items_differ = items.total() != summary.items && summary.is_ready && is_settled;
        let nodes_differ = nodes.total() != summary.nodes && self.directory.settle_at <= now;
        if !items_differ && !nodes_differ {
            return None;
        }
        let choose =
            |differ: bool, buckets: &[u64]| if differ { buckets.to_vec() } else { Vec::new() };
        let report = BucketReport {
            items: choose(items_differ, items.buckets()),
            nodes: choose(nodes_differ, nodes.buckets()),
            is_reply: false,
        };
        self.send_to(from, PeerMessage::Buckets(report))
    }

    /// Sends what this node holds in the buckets that differ.
    pub(crate) fn take_buckets(&self, from: &NodeName, report: &BucketReport) -> Vec<PeerEffect> {
        let mut messages = Vec::new();
        if !report.is_reply {
            messages.push(PeerMessage::Buckets(self.reply_buckets(report)));
        }
        if !report.items.is_empty() {
            let differing = self.catalog.summary().differing(&report.items);
            let entries = self.catalog.entries_in(&differing);
            let chunks = entries.chunks(ENTRIES_PER_FRAME);
            messages.extend(chunks.map(|chunk| PeerMessage::Announce(chunk.to_vec())));
        }
        if !report.nodes.is_empty() {
            let differing = self.directory.summary().differing(&report.nodes);
            let records = self.directory.records_in(&differing);
            let chunks = records.chunks(ENTRIES_PER_FRAME);
            messages.extend(chunks.map(|chunk| PeerMessage::Nodes(chunk.to_vec())));
        }
        let effects = messages
            .into_iter()
            .filter_map(|message| self.send_to(from, message));
        effects.collect()
    }

    fn reply_buckets(&self, report: &BucketReport) -> BucketReport {
        let choose = |asked: &[u64], own: &[u64]| {
            if asked.is_empty() {
                Vec::new()
            } else {
                own.to_vec()
            }
        };
        BucketReport {
            items: choose(&report.items, self.catalog.summary().buckets()),
            nodes: choose(&report.nodes, self.directory.summary().buckets()),
            is_reply: true,
        }
    }
}
