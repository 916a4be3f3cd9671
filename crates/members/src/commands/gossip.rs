//! Exchange of node records by gossip.

use base::prelude::*;

use crate::{NodePhase, NodeRecord, PeerEffect, PeerMessage, PeerState};

impl PeerState {
    /// Merges records; the first ones received end the join requests to seeds.
    pub(crate) fn handle_nodes(
        &mut self,
        from: &NodeName,
        records: Vec<NodeRecord>,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        self.merge_records(records, Some(from), now);
        if self.timers.join_at.take().is_some() {
            self.spread_first_call(now);
        }
        Vec::new()
    }

    /// Merges records and queues the changed ones to be forwarded.
    pub(crate) fn merge_records(
        &mut self,
        records: Vec<NodeRecord>,
        from: Option<&NodeName>,
        now: ClockTime,
    ) {
        for record in records {
            if record.node == self.local.node {
                self.refute(&record, now);
            } else {
                self.merge_record(record, from, now);
            }
        }
    }

    /// Merges one record; returns whether it replaced the known one.
    pub(crate) fn merge_record(
        &mut self,
        record: NodeRecord,
        from: Option<&NodeName>,
        now: ClockTime,
    ) -> bool {
        let deadline = match record.phase {
            NodePhase::Alive => None,
            NodePhase::Suspect => Some(now + self.settings.suspicion_timeout),
            NodePhase::Dead => Some(now + self.settings.dead_retention),
        };
        let node = record.node.clone();
        let is_forwarded = node == self.local.node || self.readiness.is_some();
        let settle_at = now + self.settings.settle_delay;
        if !self.directory.merge(record, deadline, settle_at) {
            return false;
        }
        let spread_at = now + self.settings.rumor_delay;
        if is_forwarded {
            let source = from.unwrap_or(&self.local.node).clone();
            self.rumors.insert(node, source);
            self.timers.rumor_at.get_or_insert(spread_at);
        }
        self.timers.refresh_at.get_or_insert(spread_at);
        true
    }

    /// Refutes a record of this node that takes precedence over its own.
    ///
    /// A starting process takes over the higher incarnation of a predecessor; a
    /// process that was ready yields to its successor.
    fn refute(&mut self, record: &NodeRecord, now: ClockTime) {
        let is_newer = record.precedence() > self.local.precedence();
        if !is_newer || self.local.phase == NodePhase::Dead {
            return;
        }
        let is_successor = record.incarnation > self.local.incarnation;
        if is_successor && self.readiness.is_some() {
            return;
        }
        self.local.incarnation = record.incarnation;
        self.local.refutations = record.refutations.saturating_add(1);
        let local = self.local.clone();
        self.merge_record(local, None, now);
    }

    /// Forwards queued records on all links, except to the peer they came from.
    pub(crate) fn send_rumors(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        if self.timers.rumor_at.is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.timers.rumor_at = None;
        let rumors = std::mem::take(&mut self.rumors);
        let mut effects = Vec::new();
        for (peer, link) in &self.links {
            let forwarded = rumors.iter().filter(|(_, source)| *source != peer);
            let records: Vec<_> = forwarded
                .filter_map(|(node, _)| self.directory.get(node).cloned())
                .collect();
            if !records.is_empty() {
                effects.push(self.send(link.address, PeerMessage::Nodes(records)));
            }
        }
        effects
    }

    /// Sends a suspected or dead sender its record, so that it can refute it.
    pub(crate) fn notify_suspect(&self, from: &NodeName) -> Option<PeerEffect> {
        let record = self.directory.get(from)?;
        if record.phase == NodePhase::Alive {
            return None;
        }
        Some(self.send(record.address, PeerMessage::Nodes(vec![record.clone()])))
    }
}
