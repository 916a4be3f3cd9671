//! Queries on the known nodes, links and watchers, and the next deadline.

use base::prelude::*;

use crate::{NodePhase, NodeRecord, PeerState};

impl PeerState {
    /// Record of this node.
    pub fn local_node(&self) -> &NodeRecord {
        &self.local
    }

    /// Nodes that are not dead, this one included.
    pub fn live_nodes(&self) -> impl Iterator<Item = &NodeRecord> {
        self.directory.live().map(|entry| &entry.record)
    }

    /// Record of a node; `None` if it is unknown or was dropped.
    pub fn node(&self, node: &NodeName) -> Option<&NodeRecord> {
        self.directory.get(node)
    }

    /// Nodes that are suspected or whose link is silent, sorted by name.
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

    /// Watchers of a failure domain, by rank.
    pub fn watchers(&self, domain: &DomainName) -> &[NodeName] {
        self.watchers.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Whether this node watches the store.
    pub fn watches_store(&self) -> bool {
        self.store.is_watcher
    }

    /// Earliest instant at which `tick` has something to do.
    pub fn next_deadline(&self) -> Option<ClockTime> {
        let timers = &self.timers;
        let next_call_at = self.store.next_call_at.filter(|_| {
            !self.store.is_call_pending && (self.store.is_watcher || self.readiness.is_none())
        });
        let fixed = [timers.heartbeat_at, timers.probe_at, timers.ask_at];
        let optional = [
            timers.join_at,
            timers.rumor_at,
            timers.refresh_at,
            next_call_at,
        ];
        let links = self.links.values().map(|link| link.silent_at);
        let fetches = self
            .catalog
            .pending_fetches
            .values()
            .map(|pending| pending.retry_at);
        let quarantined = self.catalog.quarantined();
        let confirms = quarantined.map(|quarantined| quarantined.confirm_at);
        fixed
            .into_iter()
            .chain(optional.into_iter().flatten())
            .chain(links)
            .chain(fetches)
            .chain(confirms)
            .chain(self.directory.next_deadline())
            .min()
    }
}
