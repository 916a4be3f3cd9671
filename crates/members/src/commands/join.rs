//! Start and planned shutdown of a node.

use std::net::SocketAddr;

use base::prelude::*;

use crate::{NodePhase, NodeRecord, PeerEffect, PeerMessage, PeerState};

/// Maximum number of records in one frame.
const RECORDS_PER_FRAME: usize = 2_048;

impl PeerState {
    /// Starts the node: requests all records from the seeds, and then a listing
    /// from the store.
    ///
    /// `known_nodes` may come from the `nodes/` objects of the store.
    pub fn join(
        &mut self,
        seeds: Vec<SocketAddr>,
        known_nodes: Vec<NodeRecord>,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        self.seeds = seeds;
        self.seeds.retain(|&seed| seed != self.local.address);
        self.timers.started_at = now;
        self.timers.store_grace_ends_at = now + self.settings.store_grace_period;
        self.timers.heartbeat_at = self.random_instant(now, self.settings.heartbeat_interval);
        self.timers.probe_at = self.jittered_instant(now, self.settings.probe_interval);
        self.timers.ask_at = self.random_instant(now, self.settings.ask_interval);
        self.timers.refresh_at = Some(now);
        let store_delay = if self.seeds.is_empty() {
            Duration::ZERO
        } else {
            self.settings.heartbeat_interval
        };
        self.store.next_call_at = Some(now + store_delay);
        let local = self.local.clone();
        self.directory.merge(local, None, now);
        self.merge_records(known_nodes, None, now);
        self.contact_seeds(now)
    }

    /// Announces on all links that the node is leaving.
    pub fn leave(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        self.local.phase = NodePhase::Dead;
        self.directory.merge(self.local.clone(), None, now);
        let message = PeerMessage::Nodes(vec![self.local.clone()]);
        let addresses = self.links.values().map(|link| link.address);
        addresses.map(|to| self.send(to, message.clone())).collect()
    }

    /// Sends a join request to every seed; repeated until another node is known.
    pub(crate) fn contact_seeds(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        if self.seeds.is_empty() || self.directory.len() > 1 {
            self.timers.join_at = None;
            return Vec::new();
        }
        self.timers.join_at =
            Some(self.jittered_instant(now, self.settings.heartbeat_interval * 2));
        let message = PeerMessage::Join(self.local.clone());
        let seeds = self.seeds.iter();
        seeds.map(|&to| self.send(to, message.clone())).collect()
    }

    /// Answers a starting node with all known records.
    pub(crate) fn handle_join(&mut self, record: NodeRecord, now: ClockTime) -> Vec<PeerEffect> {
        let to = record.address;
        let from = record.node.clone();
        self.merge_records(vec![record], Some(&from), now);
        let records: Vec<_> = self
            .directory
            .entries()
            .map(|entry| entry.record.clone())
            .collect();
        records
            .chunks(RECORDS_PER_FRAME)
            .map(|chunk| self.send(to, PeerMessage::Nodes(chunk.to_vec())))
            .collect()
    }
}
