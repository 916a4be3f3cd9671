//! Which nodes there are and when this one is next due.

use base::prelude::*;

use crate::{NodePhase, NodeRecord, PeerState};

impl PeerState {
    /// Record under which this node is known.
    pub fn own(&self) -> &NodeRecord {
        &self.own
    }

    /// Nodes that are not dead, this one included.
    pub fn live_nodes(&self) -> impl Iterator<Item = &NodeRecord> {
        self.directory.live().map(|entry| &entry.record)
    }

    /// Record of a node.
    pub fn node(&self, node: &NodeName) -> Option<&NodeRecord> {
        self.directory.get(node)
    }

    /// Nodes that are suspected or whose link is silent.
    pub fn silent_peers(&self) -> Vec<NodeName> {
        let is_suspect = |record: &&NodeRecord| record.phase == NodePhase::Suspect;
        let suspects = self.live_nodes().filter(is_suspect);
        let mut names: Vec<_> = suspects.map(|record| record.node.clone()).collect();
        let silent = self.links.iter().filter(|(_, link)| link.is_silent);
        names.extend(silent.map(|(peer, _)| peer.clone()));
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Peers to which this node has a link.
    pub fn linked_peers(&self) -> impl Iterator<Item = &NodeName> {
        self.links.keys()
    }

    /// Nodes of a failure domain that watch the store.
    pub fn watchers(&self, domain: &DomainName) -> &[NodeName] {
        self.watchers.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Whether this node watches the store.
    pub fn watches_store(&self) -> bool {
        self.store.is_watcher
    }

    /// Instant at which `tick` is next due.
    pub fn next_deadline(&self) -> Option<ClockTime> {
        let timers = &self.timers;
        let call_at = self.store.call_at.filter(|_| {
            !self.store.is_waiting && (self.store.is_watcher || self.readiness.is_none())
        });
        let always = [timers.heartbeat_at, timers.probe_at, timers.ask_at];
        let maybe = [timers.join_at, timers.rumor_at, timers.refresh_at, call_at];
        let links = self.links.values().map(|link| link.silent_at);
        let wanted = self.catalog.wanted.values().map(|wanted| wanted.retry_at);
        let quarantined = self.catalog.quarantined();
        let confirms = quarantined.map(|quarantined| quarantined.confirm_at);
        always
            .into_iter()
            .chain(maybe.into_iter().flatten())
            .chain(links)
            .chain(wanted)
            .chain(confirms)
            .chain(self.directory.next_deadline())
            .min()
    }
}
