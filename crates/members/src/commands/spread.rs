//! News of nodes.

use base::prelude::*;

use crate::{NodePhase, NodeRecord, PeerEffect, PeerMessage, PeerState};

impl PeerState {
    /// Takes in news; the first of them end the search for seeds.
    pub(crate) fn take_nodes(
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

    /// Takes records over and queues those that are news.
    pub(crate) fn merge_records(
        &mut self,
        records: Vec<NodeRecord>,
        from: Option<&NodeName>,
        now: ClockTime,
    ) {
        for record in records {
            if record.node == self.own.node {
                self.object_to(&record, now);
            } else {
                self.merge_record(record, from, now);
            }
        }
    }

    /// Takes one record over; true if it is news.
    pub(crate) fn merge_record(
        &mut self,
        record: NodeRecord,
        from: Option<&NodeName>,
        now: ClockTime,
    ) -> bool {
        let deadline = match record.phase {
            NodePhase::Alive => None,
            NodePhase::Suspect => Some(now + self.settings.suspicion_limit),
            NodePhase::Dead => Some(now + self.settings.dead_limit),
        };
        let node = record.node.clone();
        let is_worth_telling = node == self.own.node || self.readiness.is_some();
        let settle_at = now + self.settings.settle_delay;
        if !self.directory.merge(record, deadline, settle_at) {
            return false;
        }
        let spread_at = now + self.settings.rumor_delay;
        if is_worth_telling {
            let teller = from.unwrap_or(&self.own.node).clone();
            self.rumors.insert(node, teller);
            self.timers.rumor_at.get_or_insert(spread_at);
        }
        self.timers.refresh_at.get_or_insert(spread_at);
        true
    }

    /// Objects to a record that says this run is suspected or dead.
    ///
    /// A run that starts outbids its predecessor; a run that was ready gives
    /// way to its successor.
    fn object_to(&mut self, record: &NodeRecord, now: ClockTime) {
        let is_newer = record.precedence() > self.own.precedence();
        if !is_newer || self.own.phase == NodePhase::Dead {
            return;
        }
        let is_successor = record.incarnation > self.own.incarnation;
        if is_successor && self.readiness.is_some() {
            return;
        }
        self.own.incarnation = record.incarnation;
        self.own.refutations = record.refutations.saturating_add(1);
        let own = self.own.clone();
        self.merge_record(own, None, now);
    }

    /// Passes queued news on to all links.
    pub(crate) fn spread_rumors(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        if self.timers.rumor_at.is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.timers.rumor_at = None;
        let rumors = std::mem::take(&mut self.rumors);
        let mut effects = Vec::new();
        for (peer, link) in &self.links {
            let news = rumors.iter().filter(|(_, teller)| *teller != peer);
            let records: Vec<_> = news
                .filter_map(|(node, _)| self.directory.get(node).cloned())
                .collect();
            if !records.is_empty() {
                effects.push(self.send(link.address, PeerMessage::Nodes(records)));
            }
        }
        effects
    }

    /// Tells a sender that it is taken for silent, so that it can object.
    pub(crate) fn warn_sender(&self, from: &NodeName) -> Option<PeerEffect> {
        let record = self.directory.get(from)?;
        if record.phase == NodePhase::Alive {
            return None;
        }
        Some(self.send(record.address, PeerMessage::Nodes(vec![record.clone()])))
    }
}
