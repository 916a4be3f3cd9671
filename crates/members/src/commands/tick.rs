//! Deadlines that have passed.

use base::prelude::*;
use rand::RngExt;

use crate::{NodePhase, PeerEffect, PeerMessage, PeerState, PeerSummary};

impl PeerState {
    /// Acts on every deadline that has passed.
    pub fn tick(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        let mut effects = Vec::new();
        if self.timers.join_at.is_some_and(|due| due <= now) {
            effects.extend(self.try_seeds(now));
        }
        self.expire_nodes(now);
        self.refresh_due(now);
        effects.extend(self.find_silent(now));
        effects.extend(self.spread_rumors(now));
        effects.extend(self.beat_due(now));
        effects.extend(self.probe_due(now));
        effects.extend(self.fetch_due(now));
        effects.extend(self.confirm_due(now));
        effects.extend(self.ask_due(now));
        effects.extend(self.call_store(now));
        effects
    }

    fn expire_nodes(&mut self, now: ClockTime) {
        for mut record in self.directory.expire(now) {
            record.phase = NodePhase::Dead;
            self.merge_record(record, None, now);
        }
    }

    /// Suspects peers on whose links nothing came by the deadline.
    fn find_silent(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        let mut effects = Vec::new();
        let silent_at = now + self.settings.silence_limit;
        let mut silent = Vec::new();
        self.links
            .retain(|_, link| link.is_derived || link.silent_at > now);
        for (peer, link) in &mut self.links {
            if link.silent_at <= now {
                link.silent_at = silent_at;
                link.is_silent = true;
                silent.push(peer.clone());
                effects.push(PeerEffect::Close { to: link.address });
            }
        }
        let heard = self.links.values().filter(|link| !link.is_silent).count();
        let is_cut_off = heard * 2 < self.links.len();
        if !is_cut_off {
            silent.iter().for_each(|peer| self.suspect_node(peer, now));
        }
        effects
    }

    /// Suspects a node of this region; what is silent elsewhere may be the
    /// way there.
    fn suspect_node(&mut self, peer: &NodeName, now: ClockTime) {
        let Some(record) = self.directory.get(peer) else {
            return;
        };
        if record.region == self.own.region && record.phase == NodePhase::Alive {
            let mut record = record.clone();
            record.phase = NodePhase::Suspect;
            self.merge_record(record, None, now);
        }
    }

    fn beat_due(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        if self.timers.heartbeat_at > now {
            return Vec::new();
        }
        self.timers.heartbeat_at = now + self.settings.heartbeat_period;
        let links = self.links.values();
        let beats = links.map(|link| self.send(link.address, self.heartbeat(link.is_derived)));
        beats.collect()
    }

    fn heartbeat(&self, is_link: bool) -> PeerMessage {
        PeerMessage::Heartbeat(PeerSummary {
            items: self.catalog.summary().total(),
            nodes: self.directory.summary().total(),
            is_ready: self.readiness.is_some(),
            is_link,
        })
    }

    /// Tries one dead node, so that parts that were cut find each other again.
    fn probe_due(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        if self.timers.probe_at > now {
            return Vec::new();
        }
        self.timers.probe_at = self.jitter_from(now, self.settings.probe_period);
        let dead: Vec<_> = self.directory.dead().map(|record| record.address).collect();
        let mut effects = Vec::new();
        if !dead.is_empty() {
            let to = dead[self.random.random_range(0..dead.len())];
            effects.push(self.send(to, self.heartbeat(false)));
        }
        if self.is_alone() {
            let message = PeerMessage::Join(self.own.clone());
            let seeds = self.seeds.iter();
            effects.extend(seeds.map(|&to| self.send(to, message.clone())));
        }
        effects
    }

    fn is_alone(&self) -> bool {
        self.links.values().all(|link| link.is_silent)
    }

    /// Makes the one call to the store that may be under way.
    fn call_store(&mut self, now: ClockTime) -> Option<PeerEffect> {
        let is_needed = self.store.is_watcher || self.readiness.is_none();
        let is_due = self.store.call_at.is_some_and(|due| due <= now);
        if !is_needed || !is_due || self.store.is_waiting {
            return None;
        }
        self.store.is_waiting = true;
        self.store.call_at = None;
        let after = self.store.listed.unwrap_or_default();
        Some(PeerEffect::WatchListing { after })
    }

    /// Spreads the first call to the store over a time that grows with the
    /// number of nodes.
    pub(crate) fn spread_first_call(&mut self, now: ClockTime) {
        let nodes = u32::try_from(self.directory.len()).unwrap_or(u32::MAX);
        let call_at = self.spread_from(now, self.settings.spread_per_node * nodes);
        self.store.call_at = Some(call_at);
    }
}
