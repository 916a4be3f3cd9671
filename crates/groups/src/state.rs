//! State of one node for one fabric domain.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use document::DeploymentSpec;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::{FabricRecord, GroupSettings, HostReport};

/// State from which one node decides about one fabric domain.
#[derive(Debug)]
pub struct FabricState {
    pub(crate) node: NodeName,
    pub(crate) process: u64,
    pub(crate) settings: GroupSettings,
    pub(crate) rng: StdRng,
    pub(crate) record: FabricRecord,
    /// Version of the record; `None` until the object has been read.
    pub(crate) version: Option<ObjectVersion>,
    pub(crate) held: Option<HeldLease>,
    /// When another node's lease may be taken over, counted from its last observed
    /// change; `None` if no other node holds the lease.
    pub(crate) takeover_at: Option<ClockTime>,
    /// Writes without a known outcome, all with the same expected version.
    pub(crate) writes: Vec<SentWrite>,
    pub(crate) read_at: Option<ClockTime>,
    pub(crate) write_at: ClockTime,
    pub(crate) ticked_at: ClockTime,
    /// Whether any input of the decisions has changed since the last tick.
    pub(crate) changed: bool,
    pub(crate) stopping: bool,
    pub(crate) hosts: BTreeMap<HostName, HostEntry>,
    pub(crate) reports: BTreeMap<HostName, TimedReport>,
    pub(crate) desired_groups: BTreeMap<DeploymentName, DesiredGroups>,
    pub(crate) timers: GroupTimers,
    pub(crate) orders: BTreeMap<HostName, SentOrder>,
}

impl FabricState {
    /// Initial state, without a record, hosts or reports.
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
            held: None,
            takeover_at: None,
            writes: Vec::new(),
            read_at: Some(ClockTime::default()),
            write_at: ClockTime::default(),
            ticked_at: ClockTime::default(),
            changed: true,
            stopping: false,
            hosts: BTreeMap::new(),
            reports: BTreeMap::new(),
            desired_groups: BTreeMap::new(),
            timers: GroupTimers::default(),
            orders: BTreeMap::new(),
        }
    }

    /// Newest known record.
    pub fn record(&self) -> &FabricRecord {
        &self.record
    }

    /// Version of the newest known record; `None` until the object has been read.
    pub fn version(&self) -> Option<ObjectVersion> {
        self.version
    }

    /// Last report of every host, valid or expired.
    pub fn reports(&self) -> &BTreeMap<HostName, TimedReport> {
        &self.reports
    }

    /// Hosts as last listed by the platform.
    pub fn hosts(&self) -> &BTreeMap<HostName, HostEntry> {
        &self.hosts
    }

    /// Whether this node holds a valid lease.
    pub fn holds_lease(&self, now: ClockTime) -> bool {
        self.held
            .as_ref()
            .is_some_and(|held| now < held.valid_until)
    }

    /// Whether this node needs host reports for its decisions.
    ///
    /// That applies to the holder and to every node that may acquire a free lease,
    /// since a node without valid reports of at least half of the members
    /// acquires none.
    pub fn needs_reports(&self, now: ClockTime) -> bool {
        !self.stopping && (self.holds_lease(now) || self.may_acquire(now))
    }

    /// Whether the node is stopping and holds no lease any more.
    pub fn has_released(&self, now: ClockTime) -> bool {
        self.stopping && !self.holds_lease(now)
    }
}

/// Owner lease that this node holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldLease {
    /// Instant from which the lease is expired.
    pub valid_until: ClockTime,
    /// Instant at which a renewal is due.
    pub renew_at: ClockTime,
    /// Instant before which no orders are sent if an engine ignores the token.
    pub orders_allowed_at: ClockTime,
}

/// Update that was sent and whose outcome is not known.
#[derive(Clone, Debug)]
pub(crate) struct SentWrite {
    /// Record to be written.
    pub record: FabricRecord,
    /// Version of the object that the update requires.
    pub expected: ObjectVersion,
    /// Instant right before it was sent.
    pub sent_at: ClockTime,
    /// Whether it ended, by a reply or `store_limit`, without a known outcome.
    pub unresolved: bool,
}

/// Order that was sent.
#[derive(Clone, Debug)]
pub(crate) struct SentOrder {
    /// Content, to distinguish a new order from a repetition.
    pub order: crate::HostOrder,
    /// Instant at which it is sent again.
    pub retry_at: ClockTime,
}

/// Deadlines of groups and hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupTimers {
    /// When a silent or restarted member may be replaced.
    pub replace_at: BTreeMap<HostName, ClockTime>,
    /// When an idle host may join a group.
    pub available_at: BTreeMap<HostName, ClockTime>,
    /// When a drained group may be closed.
    pub close_at: BTreeMap<GroupName, ClockTime>,
    /// When a slow member counts as a straggler.
    pub straggler_at: BTreeMap<HostName, ClockTime>,
    /// When a replaced host no longer counts as a straggler.
    pub straggler_expires_at: BTreeMap<HostName, ClockTime>,
}

impl GroupTimers {
    /// Deadlines of all timers.
    pub fn deadlines(&self) -> impl Iterator<Item = ClockTime> {
        self.replace_at
            .values()
            .chain(self.available_at.values())
            .chain(self.close_at.values())
            .chain(self.straggler_at.values())
            .chain(self.straggler_expires_at.values())
            .copied()
    }
}

/// Host as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// Name of the host.
    pub host: HostName,
    /// Address of its engine.
    pub address: SocketAddr,
    /// Whether it stays in service.
    pub status: HostStatus,
}

/// Status of a listed host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStatus {
    /// In service.
    Live,
    /// About to be removed.
    Leaving,
}

/// Host report with its validity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedReport {
    /// Report of the host.
    pub report: HostReport,
    /// When the report was requested.
    pub polled_at: ClockTime,
    /// Instant from which the report is expired.
    pub valid_until: ClockTime,
}

/// Groups of one deployment that a fabric domain is to have.
#[derive(Clone, Debug, PartialEq)]
pub struct DesiredGroups {
    /// Name of the deployment.
    pub deployment: DeploymentName,
    /// Specification from the operators' configuration.
    pub spec: DeploymentSpec,
    /// Number of groups that this fabric domain is to have.
    pub groups: usize,
}
