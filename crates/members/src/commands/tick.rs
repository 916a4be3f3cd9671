//! Actions on expired deadlines.

use base::prelude::*;
use rand::RngExt;

use crate::{NodePhase, PeerEffect, PeerMessage, PeerState, PeerSummary};

impl PeerState {
    /// Acts on every deadline that has expired.
    pub fn tick(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        let mut effects = Vec::new();
        if self.timers.join_at.is_some_and(|due| due <= now) {
            effects.extend(self.contact_seeds(now));
        }
        self.expire_nodes(now);
        self.notices.expire(now);
        self.refresh_due(now);
        effects.extend(self.detect_silent_links(now));
        effects.extend(self.send_rumors(now));
        effects.extend(self.heartbeat_due(now));
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

    /// Closes links on which nothing was received in time, and suspects their
    /// peers.
    ///
    /// No peer is suspected while most links are silent, because this node is then
    /// more likely to be partitioned itself.
    fn detect_silent_links(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        let mut effects = Vec::new();
        let silent_at = now + self.settings.silence_timeout;
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
        let active = self.links.values().filter(|link| !link.is_silent).count();
        let is_partitioned = active * 2 < self.links.len();
        if !is_partitioned {
            silent.iter().for_each(|peer| self.suspect_node(peer, now));
        }
        effects
    }

    /// Suspects a node of this region; for a silent node of another region, the
    /// network between the regions may be the cause.
    fn suspect_node(&mut self, peer: &NodeName, now: ClockTime) {
        let Some(record) = self.directory.get(peer) else {
            return;
        };
        if record.region == self.local.region && record.phase == NodePhase::Alive {
            let mut record = record.clone();
            record.phase = NodePhase::Suspect;
            self.merge_record(record, None, now);
        }
    }

    fn heartbeat_due(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        if self.timers.heartbeat_at > now {
            return Vec::new();
        }
        self.timers.heartbeat_at = now + self.settings.heartbeat_interval;
        let links = self.links.values();
        let heartbeats = links.map(|link| self.send(link.address, self.heartbeat(link.is_derived)));
        heartbeats.collect()
    }

    fn heartbeat(&self, is_link: bool) -> PeerMessage {
        PeerMessage::Heartbeat(self.summary(is_link))
    }

    pub(crate) fn summary(&self, is_link: bool) -> PeerSummary {
        PeerSummary {
            items: self.catalog.summary().total(),
            nodes: self.directory.summary().total(),
            is_ready: self.readiness.is_some(),
            is_link,
        }
    }

    /// Probes one dead node, so that both sides of a partition find each other
    /// again, and the seeds if no link is active.
    fn probe_due(&mut self, now: ClockTime) -> Vec<PeerEffect> {
        if self.timers.probe_at > now {
            return Vec::new();
        }
        self.timers.probe_at = self.jittered_instant(now, self.settings.probe_interval);
        let dead: Vec<_> = self.directory.dead().map(|record| record.address).collect();
        let mut effects = Vec::new();
        if !dead.is_empty() {
            let to = dead[self.random.random_range(0..dead.len())];
            effects.push(self.send(to, self.heartbeat(false)));
        }
        if self.is_isolated() {
            let message = PeerMessage::Join(self.local.clone());
            let seeds = self.seeds.iter();
            effects.extend(seeds.map(|&to| self.send(to, message.clone())));
        }
        effects
    }

    fn is_isolated(&self) -> bool {
        self.links.values().all(|link| link.is_silent)
    }

    /// Requests a listing from the store if one is due and none is pending.
    fn call_store(&mut self, now: ClockTime) -> Option<PeerEffect> {
        let is_needed = self.store.is_watcher || self.readiness.is_none();
        let is_due = self.store.next_call_at.is_some_and(|due| due <= now);
        if !is_needed || !is_due || self.store.is_call_pending {
            return None;
        }
        self.store.is_call_pending = true;
        self.store.next_call_at = None;
        let after = self.store.listed.unwrap_or_default();
        Some(PeerEffect::WatchListing { after })
    }

    /// Schedules the first call to the store at a random instant within a window
    /// that grows with the number of nodes, so that nodes that start together don't
    /// overload the store.
    pub(crate) fn spread_first_call(&mut self, now: ClockTime) {
        let nodes = u32::try_from(self.directory.len()).unwrap_or(u32::MAX);
        let next_call_at =
            self.random_instant(now, self.settings.first_call_spread_per_node * nodes);
        self.store.next_call_at = Some(next_call_at);
    }
}
