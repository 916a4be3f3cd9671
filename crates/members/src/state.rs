//! State of the peer layer of one node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::catalog::ItemCatalog;
use crate::directory::NodeDirectory;
use crate::notice::VersionNotices;
use crate::observation::ObservationTable;
use crate::overlay::hash_text;
use crate::{NodeRecord, PeerEffect, PeerFrame, PeerMessage, PeerSettings, ReadinessProof};

/// Known nodes, items in force and observed groups of one node.
///
/// `commands` change it, `queries` read it.
#[derive(Debug)]
pub struct PeerState {
    pub(crate) settings: PeerSettings,
    pub(crate) cluster: u64,
    pub(crate) local: NodeRecord,
    pub(crate) random: StdRng,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) directory: NodeDirectory,
    pub(crate) catalog: ItemCatalog,
    pub(crate) notices: VersionNotices,
    pub(crate) observations: ObservationTable,
    pub(crate) links: BTreeMap<NodeName, PeerLink>,
    pub(crate) watchers: BTreeMap<DomainName, Vec<NodeName>>,
    pub(crate) subset_peers: Vec<NodeName>,
    /// Nodes whose records are to be forwarded, with the peer each came from.
    pub(crate) rumors: BTreeMap<NodeName, NodeName>,
    pub(crate) questions: BTreeMap<u64, OpenQuestion>,
    pub(crate) next_question: u64,
    /// Ready peers that hold the same items as this node.
    pub(crate) synced_peers: Vec<NodeName>,
    pub(crate) readiness: Option<ReadinessProof>,
    pub(crate) store: StoreWatch,
    pub(crate) timers: PeerTimers,
}

/// Peer to which this node sends heartbeats and changes.
#[derive(Clone, Debug)]
pub struct PeerLink {
    pub address: SocketAddr,
    /// Whether this node derived the link; otherwise only its peer did.
    pub is_derived: bool,
    /// When the peer counts as silent, or a link that only the peer derived ends.
    pub silent_at: ClockTime,
    pub is_silent: bool,
}

/// Question for observations that is not answered yet.
#[derive(Clone, Debug)]
pub struct OpenQuestion {
    pub peer: NodeName,
    pub asked_at: ClockTime,
    pub expires_at: ClockTime,
}

/// State of this node's calls to the store.
#[derive(Clone, Debug, Default)]
pub struct StoreWatch {
    pub is_watcher: bool,
    /// Whether a listing was requested and not answered yet.
    pub is_call_pending: bool,
    /// Version of the latest listing; `None` before the first one.
    pub listed: Option<ObjectVersion>,
    /// Consecutive failed calls.
    pub failures: u32,
    /// When the next listing is due; `None` if none is scheduled.
    pub next_call_at: Option<ClockTime>,
    /// Earliest instant of the next read of single items.
    pub next_read_at: ClockTime,
}

/// Deadlines of periodic and scheduled actions.
#[derive(Clone, Debug, Default)]
pub struct PeerTimers {
    pub started_at: ClockTime,
    /// Until then only the store can prove readiness.
    pub store_grace_ends_at: ClockTime,
    pub join_at: Option<ClockTime>,
    pub heartbeat_at: ClockTime,
    pub probe_at: ClockTime,
    pub ask_at: ClockTime,
    pub rumor_at: Option<ClockTime>,
    /// When the bodies sent so far have passed at the rate of bodies.
    pub bodies_sent_at: ClockTime,
    pub refresh_at: Option<ClockTime>,
}

impl PeerState {
    /// State of a node that knows no other node; [`join`](Self::join) starts it.
    pub fn new(settings: PeerSettings, local: NodeRecord, seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed);
        Self {
            cluster: hash_text(&settings.cluster),
            next_question: seed.rotate_left(32),
            settings,
            local,
            random,
            seeds: Vec::new(),
            directory: NodeDirectory::default(),
            catalog: ItemCatalog::default(),
            notices: VersionNotices::default(),
            observations: ObservationTable::default(),
            links: BTreeMap::new(),
            watchers: BTreeMap::new(),
            subset_peers: Vec::new(),
            rumors: BTreeMap::new(),
            questions: BTreeMap::new(),
            synced_peers: Vec::new(),
            readiness: None,
            store: StoreWatch::default(),
            timers: PeerTimers::default(),
        }
    }

    pub(crate) fn send(&self, to: SocketAddr, message: PeerMessage) -> PeerEffect {
        let frame = PeerFrame {
            cluster: self.cluster,
            from: self.local.node.clone(),
            incarnation: self.local.incarnation,
            message,
        };
        PeerEffect::Send { to, frame }
    }

    pub(crate) fn send_to(&self, node: &NodeName, message: PeerMessage) -> Option<PeerEffect> {
        let record = self.directory.get(node)?;
        Some(self.send(record.address, message))
    }

    /// Random instant within a duration from now, uniformly distributed.
    pub(crate) fn random_instant(&mut self, now: ClockTime, duration: Duration) -> ClockTime {
        let fraction: f64 = self.random.random();
        now + duration.mul_f64(fraction)
    }

    /// Random instant between half the duration and the whole from now.
    pub(crate) fn jittered_instant(&mut self, now: ClockTime, duration: Duration) -> ClockTime {
        self.random_instant(now + duration / 2, duration / 2)
    }
}
