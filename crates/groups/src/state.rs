//! What one node knows and waits for in one fabric domain.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use document::DeploymentSpec;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::{FabricRecord, GroupSettings, HostReport};

/// Decision state of one node about one fabric domain.
#[derive(Debug)]
pub struct FabricState {
    pub(crate) node: NodeName,
    pub(crate) process: u64,
    pub(crate) settings: GroupSettings,
    pub(crate) rng: StdRng,
    pub(crate) record: FabricRecord,
    /// Version of the record; none until the object was read.
    pub(crate) version: Option<ObjectVersion>,
    pub(crate) own: Option<OwnLease>,
    /// When another node's lease may be taken, from its last change seen here.
    pub(crate) free_at: Option<ClockTime>,
    /// Writes whose end is not known yet, all with the same expected version.
    pub(crate) writes: Vec<SentWrite>,
    pub(crate) read_at: Option<ClockTime>,
    pub(crate) write_at: ClockTime,
    pub(crate) ticked_at: ClockTime,
    /// Whether anything that decisions rest on has changed since the last tick.
    pub(crate) changed: bool,
    pub(crate) stopping: bool,
    pub(crate) hosts: BTreeMap<HostName, HostEntry>,
    pub(crate) reports: BTreeMap<HostName, TimedReport>,
    pub(crate) targets: BTreeMap<DeploymentName, DesiredGroups>,
    pub(crate) timers: GroupTimers,
    pub(crate) orders: BTreeMap<HostName, SentOrder>,
}

impl FabricState {
    /// State of a node that knows nothing of the fabric domain yet.
    ///
    /// `process` must differ at every start of the node.
    pub fn new(
        fabric: FabricName,
        node: NodeName,
        process: u64,
        settings: GroupSettings,
        seed: u64,
    ) -> Self {
        Self {
            node,
            process,
            settings,
            rng: StdRng::seed_from_u64(seed),
            record: FabricRecord::new(fabric),
            version: None,
            own: None,
            free_at: None,
            writes: Vec::new(),
            read_at: Some(ClockTime::default()),
            write_at: ClockTime::default(),
            ticked_at: ClockTime::default(),
            changed: true,
            stopping: false,
            hosts: BTreeMap::new(),
            reports: BTreeMap::new(),
            targets: BTreeMap::new(),
            timers: GroupTimers::default(),
            orders: BTreeMap::new(),
        }
    }

    /// Newest record known.
    pub fn record(&self) -> &FabricRecord {
        &self.record
    }

    /// Version of the newest record known.
    pub fn version(&self) -> Option<ObjectVersion> {
        self.version
    }

    /// Reports known, fresh and stale.
    pub fn reports(&self) -> &BTreeMap<HostName, TimedReport> {
        &self.reports
    }

    /// Hosts as last listed.
    pub fn hosts(&self) -> &BTreeMap<HostName, HostEntry> {
        &self.hosts
    }

    /// Whether this node may give orders now.
    pub fn holds_lease(&self, now: ClockTime) -> bool {
        self.own.as_ref().is_some_and(|own| now < own.valid_until)
    }

    /// Whether this node decides by what the hosts answer.
    ///
    /// Besides the holder that is whoever may take a free lease: it takes none
    /// before it has heard the members.
    pub fn needs_reports(&self, now: ClockTime) -> bool {
        !self.stopping && (self.holds_lease(now) || self.may_acquire(now))
    }

    /// Whether a graceful stop has given the lease back or never held it.
    pub fn has_released(&self, now: ClockTime) -> bool {
        self.stopping && !self.holds_lease(now)
    }
}

/// Owner lease of this node.
#[derive(Clone, Debug)]
pub(crate) struct OwnLease {
    /// Instant from which it must not give orders.
    pub valid_until: ClockTime,
    /// Instant at which a renewal is due.
    pub renew_at: ClockTime,
    /// Instant until which engines that ignore the token get no order.
    pub orders_open_at: ClockTime,
}

/// Update that was sent and not yet answered, or answered without a verdict.
#[derive(Clone, Debug)]
pub(crate) struct SentWrite {
    /// Record it would make.
    pub record: FabricRecord,
    /// Version it expects.
    pub expected: ObjectVersion,
    /// Instant before it was sent.
    pub sent_at: ClockTime,
    /// Whether it ended without a verdict.
    pub unresolved: bool,
}

/// Order that was given.
#[derive(Clone, Debug)]
pub(crate) struct SentOrder {
    /// Its text, to tell a new order from a repeated one.
    pub order: crate::HostOrder,
    /// Instant at which it is given again.
    pub retry_at: ClockTime,
}

/// Instants that groups and hosts wait for.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupTimers {
    /// When a silent or restarted member's place may be given away.
    pub replace_at: BTreeMap<HostName, ClockTime>,
    /// When an idle host may be put into a group.
    pub free_at: BTreeMap<HostName, ClockTime>,
    /// When a drained group may be closed.
    pub close_at: BTreeMap<GroupName, ClockTime>,
    /// When a slow member counts as a straggler.
    pub straggler_at: BTreeMap<HostName, ClockTime>,
    /// When a replaced straggler is forgiven.
    pub forgive_at: BTreeMap<HostName, ClockTime>,
}

impl GroupTimers {
    /// Every instant that is waited for.
    pub fn deadlines(&self) -> impl Iterator<Item = ClockTime> {
        self.replace_at
            .values()
            .chain(self.free_at.values())
            .chain(self.close_at.values())
            .chain(self.straggler_at.values())
            .chain(self.forgive_at.values())
            .copied()
    }
}

/// Host as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// Its name.
    pub host: HostName,
    /// Where its engine listens.
    pub address: SocketAddr,
    /// Whether it is to stay.
    pub status: HostStatus,
}

/// Whether a listed host is to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStatus {
    /// Runs and stays.
    Live,
    /// Is about to go.
    Leaving,
}

/// Report with the deadline of its validity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedReport {
    /// What the host said.
    pub report: HostReport,
    /// When it was asked.
    pub polled_at: ClockTime,
    /// Instant from which the report proves nothing.
    pub valid_until: ClockTime,
}

/// Groups of one deployment that this fabric domain shall form.
#[derive(Clone, Debug, PartialEq)]
pub struct DesiredGroups {
    /// Its deployment.
    pub deployment: DeploymentName,
    /// What operators asked for.
    pub spec: DeploymentSpec,
    /// Groups wanted here.
    pub groups: usize,
}
