//! Start and planned end of a node.

use std::net::SocketAddr;

use base::prelude::*;

use crate::{NodePhase, NodeRecord, PeerEffect, PeerMessage, PeerState};

/// Most records in one frame.
const RECORDS_PER_FRAME: usize = 2_048;

impl PeerState {
    /// Starts the node: asks the seeds for all nodes, and later the store.
    ///
    /// Known records may come from the `nodes/` objects of the store.
    pub fn join(
        &mut self,
        seeds: Vec<SocketAddr>,
        known: Vec<NodeRecord>,
        now: ClockTime,
    ) -> Vec<PeerEffect> {
        self.seeds = seeds;
        self.seeds.retain(|&seed| seed != self.own.address);
        self.timers.started_at = now;
        self.timers.patient_until = now + self.settings.store_patience;
        self.timers.heartbeat_at = self.spread_from(now, self.settings.heartbeat_period);
        self.timers.probe_at = self.jitter_from(now, self.settings.probe_period);
        self.timers.ask_at = self.spread_from(now, self.settings.ask_period);
        self.timers.refresh_at = Some(now);
        let patience = if self.seeds.is_empty() {
            Duration::ZERO
        } else {
            self.settings.heartbeat_period
        };
        self.store.call_at = Some(now + patience);
        let own = self.own.clone();
        self.directory.merge(own, None, now);
        self.merge_records(known, None, now);
        self.try_seeds(now)
    }

    /// Tells its links that the node ends.
    pub fn leave(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        self.own.phase = NodePhase::Dead;
        self.directory.merge(self.own.clone(), None, now);
        let message = PeerMessage::Nodes(vec![self.own.clone()]);
        let addresses = self.links.values().map(|link| link.address);
        addresses.map(|to| self.send(to, message.clone())).collect()
    }

    /// Asks every seed, until somebody answers.
    pub(crate) fn try_seeds(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        if self.seeds.is_empty() || self.directory.len() > 1 {
            self.timers.join_at = None;
            return Vec::new();
        }
        self.timers.join_at = Some(self.jitter_from(now, self.settings.heartbeat_period * 2));
        let message = PeerMessage::Join(self.own.clone());
        let seeds = self.seeds.iter();
        seeds.map(|&to| self.send(to, message.clone())).collect()
    }

    /// Answers a node that starts.
    pub(crate) fn take_join(&mut self, record: NodeRecord, now: ClockTime) -> Vec<PeerEffect> {
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
