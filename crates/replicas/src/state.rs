//! What the planner knows.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::loads::LoadLedger;
use crate::{Endpoint, GroupRecord, MemberOrder, PlannerSettings};

/// Prefix of the groups in which spare endpoints keep a model in memory; they never open.
const PARK_PREFIX: &str = "park.";

/// Order that was given and has not shown its effect yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingOrder {
    pub order: MemberOrder,
    /// Instant at which it may be given again; none while it is on its way.
    pub again_at: Option<ClockTime>,
}

/// Reports asked of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeState {
    pub due: ClockTime,
    pub is_asked: bool,
    pub asked_at: Option<ClockTime>,
    pub misses: u32,
}

/// Endpoint and what is known of it beyond the list.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// As listed, or as it reported since.
    pub endpoint: Endpoint,
    /// Instant at which it counts as gone, after it has left the list.
    pub(crate) gone_at: Option<ClockTime>,
    /// Whether it gives no answers.
    pub(crate) is_lost: bool,
    /// Highest epoch that it refused as outdated.
    pub(crate) refused_epoch: Option<GroupEpoch>,
    /// Model of the last group that it joined.
    pub(crate) last_model: Option<ModelName>,
    /// Last instant at which it reported.
    pub(crate) reported_at: Option<ClockTime>,
    /// Factor by which its work takes longer than usual.
    pub(crate) latency_factor: f64,
    pub(crate) pending: Option<PendingOrder>,
    pub(crate) probe: ProbeState,
}

impl EndpointView {
    pub(crate) fn new(endpoint: Endpoint, now: ClockTime) -> Self {
        Self {
            endpoint,
            gone_at: None,
            is_lost: false,
            refused_epoch: None,
            last_model: None,
            reported_at: None,
            latency_factor: 1.0,
            pending: None,
            probe: ProbeState {
                due: now,
                ..ProbeState::default()
            },
        }
    }

    /// Whether it gives no answers.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Last instant at which it was asked for a report.
    pub fn asked_at(&self) -> Option<ClockTime> {
        self.probe.asked_at
    }

    /// Whether it has refused an epoch because it has seen a newer one.
    pub(crate) fn is_ahead_of(&self, epoch: GroupEpoch) -> bool {
        self.refused_epoch.is_some_and(|refused| refused >= epoch)
    }
}

/// What the planner knows; only its owner acts on it.
#[derive(Clone, Debug)]
pub struct PlannerState {
    pub(crate) settings: PlannerSettings,
    pub(crate) node: NodeName,
    pub(crate) endpoints: BTreeMap<HostName, EndpointView>,
    pub(crate) record: Arc<GroupRecord>,
    /// Version of the record in the store; none until it was read.
    pub(crate) version: Option<ObjectVersion>,
    /// Instant from which this version of the record was known here.
    pub(crate) record_at: ClockTime,
    pub(crate) writing: Option<Arc<GroupRecord>>,
    /// Instant before which a failed write isn't tried again.
    pub(crate) write_at: ClockTime,
    /// Epochs that this node may use.
    pub(crate) epochs: std::ops::Range<u64>,
    /// Epoch block that a write in flight takes.
    pub(crate) epochs_asked: std::ops::Range<u64>,
    pub(crate) loads: LoadLedger,
    /// Home models that this node has given out.
    pub(crate) homes: BTreeMap<FabricName, ModelName>,
    /// Instant until which heads are asked often.
    pub(crate) heads_until: ClockTime,
    /// When each closing group was first seen so.
    pub(crate) closing: BTreeMap<GroupEpoch, ClockTime>,
}

impl PlannerState {
    /// State that knows nothing yet.
    pub fn new(settings: PlannerSettings, node: NodeName) -> Self {
        Self {
            settings,
            node,
            endpoints: BTreeMap::new(),
            record: Arc::default(),
            version: None,
            record_at: ClockTime::default(),
            writing: None,
            write_at: ClockTime::default(),
            epochs: 0..0,
            epochs_asked: 0..0,
            loads: LoadLedger::default(),
            homes: BTreeMap::new(),
            heads_until: ClockTime::default(),
            closing: BTreeMap::new(),
        }
    }

    /// Record in force.
    pub fn record(&self) -> &Arc<GroupRecord> {
        &self.record
    }

    /// Version of the record in force.
    pub fn version(&self) -> Option<ObjectVersion> {
        self.version
    }

    /// Endpoints by identity.
    pub fn endpoints(&self) -> &BTreeMap<HostName, EndpointView> {
        &self.endpoints
    }

    /// Allows groups of endpoints without weights until an instant.
    pub fn set_cold_start_until(&mut self, until: ClockTime) {
        self.settings.cold_start_until = until;
    }
}

/// Name of the group in which a spare endpoint waits.
pub(crate) fn park_name(id: &HostName) -> Option<GroupName> {
    GroupName::new(&format!("{PARK_PREFIX}{id}")).ok()
}

/// Whether a group only keeps a spare's model in memory.
pub(crate) fn is_park(group: &GroupName) -> bool {
    group.as_str().starts_with(PARK_PREFIX)
}
