//! Anti-entropy: finding and exchanging what two nodes hold differently.

use base::prelude::*;

use crate::{BucketReport, PeerEffect, PeerMessage, PeerState, PeerSummary};

/// Maximum number of entries in one frame.
const ENTRIES_PER_FRAME: usize = 512;

impl PeerState {
    /// Starts a comparison if the hashes differ and no changes are in progress.
    ///
    /// Of two linked ready peers the one with the lower name starts. A node that
    /// isn't ready starts comparisons itself; items are compared with ready peers
    /// only.
    pub(crate) fn compare_summaries(
        &self,
        from: &NodeName,
        summary: PeerSummary,
        now: ClockTime,
    ) -> Option<PeerEffect> {
        let is_ready = self.readiness.is_some();
        let is_passive_end = self.links.contains_key(from) && self.local.node > *from;
        if is_ready && is_passive_end {
            return None;
        }
        let items = self.catalog.summary();
        let nodes = self.directory.summary();
        let is_settled = self.catalog.settle_at <= now && self.catalog.pending_fetches.is_empty();
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

    /// Sends this node's entries in the buckets that differ.
    pub(crate) fn handle_buckets(&self, from: &NodeName, report: &BucketReport) -> Vec<PeerEffect> {
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
        let choose = |requested: &[u64], local: &[u64]| {
            if requested.is_empty() {
                Vec::new()
            } else {
                local.to_vec()
            }
        };
        BucketReport {
            items: choose(&report.items, self.catalog.summary().buckets()),
            nodes: choose(&report.nodes, self.directory.summary().buckets()),
            is_reply: true,
        }
    }
}
