//! State of one node's peer layer.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::catalog::ItemCatalog;
use crate::directory::NodeDirectory;
use crate::observation::ObservationTable;
use crate::overlay::hash_text;
use crate::{NodeRecord, PeerEffect, PeerFrame, PeerMessage, PeerSettings, ReadinessProof};

/// One node's picture of the others.
///
/// `commands` change it, `queries` read it.
#[derive(Debug)]
pub struct PeerState {
    pub(crate) settings: PeerSettings,
    pub(crate) cluster: u64,
    pub(crate) own: NodeRecord,
    pub(crate) random: StdRng,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) directory: NodeDirectory,
    pub(crate) catalog: ItemCatalog,
    pub(crate) observations: ObservationTable,
    pub(crate) links: BTreeMap<NodeName, PeerLink>,
    pub(crate) watchers: BTreeMap<DomainName, Vec<NodeName>>,
    pub(crate) subset_peers: Vec<NodeName>,
    pub(crate) rumors: BTreeMap<NodeName, NodeName>,
    pub(crate) questions: BTreeMap<u64, OpenQuestion>,
    pub(crate) next_question: u64,
    pub(crate) synced: Vec<NodeName>,
    pub(crate) readiness: Option<ReadinessProof>,
    pub(crate) store: StoreWatch,
    pub(crate) timers: PeerTimers,
}

/// Peer to which frames go without being asked.
#[derive(Clone, Debug)]
pub struct PeerLink {
    pub address: SocketAddr,
    /// Whether this node derived the link; else its peer did.
    pub is_derived: bool,
    /// When its peer counts as silent, or a foreign link as gone.
    pub silent_at: ClockTime,
    pub is_silent: bool,
}

/// Question for observations that has no answer yet.
#[derive(Clone, Debug)]
pub struct OpenQuestion {
    pub peer: NodeName,
    pub asked_at: ClockTime,
    pub expires_at: ClockTime,
}

/// Calls to the store.
#[derive(Clone, Debug, Default)]
pub struct StoreWatch {
    pub is_watcher: bool,
    pub is_waiting: bool,
    pub listed: Option<ObjectVersion>,
    pub failures: u32,
    /// When the next call is due; none while there is no need for one.
    pub call_at: Option<ClockTime>,
    /// Before when no single item may be read.
    pub read_at: ClockTime,
}

/// Instants at which something is due.
#[derive(Clone, Debug, Default)]
pub struct PeerTimers {
    pub started_at: ClockTime,
    pub patient_until: ClockTime,
    pub join_at: Option<ClockTime>,
    pub heartbeat_at: ClockTime,
    pub probe_at: ClockTime,
    pub ask_at: ClockTime,
    pub rumor_at: Option<ClockTime>,
    pub refresh_at: Option<ClockTime>,
}

impl PeerState {
    /// State of a node that has heard of nobody.
    pub fn new(settings: PeerSettings, own: NodeRecord, seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed);
        Self {
            cluster: hash_text(&settings.cluster),
            next_question: seed.rotate_left(32),
            settings,
            own,
            random,
            seeds: Vec::new(),
            directory: NodeDirectory::default(),
            catalog: ItemCatalog::default(),
            observations: ObservationTable::default(),
            links: BTreeMap::new(),
            watchers: BTreeMap::new(),
            subset_peers: Vec::new(),
            rumors: BTreeMap::new(),
            questions: BTreeMap::new(),
            synced: Vec::new(),
            readiness: None,
            store: StoreWatch::default(),
            timers: PeerTimers::default(),
        }
    }

    pub(crate) fn send(&self, to: SocketAddr, message: PeerMessage) -> PeerEffect {
        let frame = PeerFrame {
            cluster: self.cluster,
            from: self.own.node.clone(),
            incarnation: self.own.incarnation,
            message,
        };
        PeerEffect::Send { to, frame }
    }

    pub(crate) fn send_to(&self, node: &NodeName, message: PeerMessage) -> Option<PeerEffect> {
        let record = self.directory.get(node)?;
        Some(self.send(record.address, message))
    }

    /// Instant within a span from now, evenly spread.
    pub(crate) fn spread_from(&mut self, now: ClockTime, span: Duration) -> ClockTime {
        let share: f64 = self.random.random();
        now + span.mul_f64(share)
    }

    /// Instant between half a span and a whole one from now.
    pub(crate) fn jitter_from(&mut self, now: ClockTime, span: Duration) -> ClockTime {
        self.spread_from(now + span / 2, span / 2)
    }
}
