//! State of the planner.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use evacuation::EvacuatedDomains;

use crate::loads::LoadTracker;
use crate::placement::PlacementState;
use crate::{Endpoint, GroupRecord, MemberOrder, PlannerSettings};

/// Removal of an endpoint from the list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointDeparture {
    pub incarnation: HostIncarnation,
    pub at: ClockTime,
}

/// Name prefix of standby groups: a spare endpoint joins one to keep a model in memory. They
/// never open.
const STANDBY_PREFIX: &str = "park.";

/// Order that was sent and has not shown its effect yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingOrder {
    pub order: MemberOrder,
    /// Orders that the endpoint was known to have accepted when this one was sent.
    pub sent_sequence: u64,
    /// Instant at which it may be sent again; `None` while its outcome is awaited.
    pub retry_at: Option<ClockTime>,
}

/// Probes of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeState {
    pub due: ClockTime,
    pub is_in_flight: bool,
    pub probed_at: Option<ClockTime>,
    /// Instant of its last response.
    pub answered_at: Option<ClockTime>,
    pub missed: u32,
    /// Instant at which the first of the missed probes was sent.
    pub silent_since: Option<ClockTime>,
}

/// Endpoint with the planner's own state about it.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// As listed or as reported since, whichever is newer.
    pub endpoint: Endpoint,
    /// Instant at which it is removed, set when it disappears from the list.
    pub(crate) expires_at: Option<ClockTime>,
    /// Whether it has announced itself that it leaves, whatever the list says.
    pub(crate) has_announced_leaving: bool,
    /// Whether it does not respond.
    pub(crate) is_lost: bool,
    /// Highest epoch that it rejected as outdated.
    pub(crate) rejected_epoch: Option<GroupEpoch>,
    /// Model that it has in memory: that of the last group it joined.
    pub(crate) resident_model: Option<ModelName>,
    /// Instant of its last report.
    pub(crate) reported_at: Option<ClockTime>,
    /// Ratio of its processing times to the usual ones.
    pub(crate) latency_factor: f64,
    pub(crate) pending: Option<PendingOrder>,
    pub(crate) probe: ProbeState,
}

impl EndpointView {
    pub(crate) fn new(endpoint: Endpoint, now: ClockTime) -> Self {
        Self {
            endpoint,
            expires_at: None,
            has_announced_leaving: false,
            is_lost: false,
            rejected_epoch: None,
            resident_model: None,
            reported_at: None,
            latency_factor: 1.0,
            pending: None,
            probe: ProbeState {
                due: now,
                ..ProbeState::default()
            },
        }
    }

    /// Whether it does not respond to probes, or its address belongs to another endpoint.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Instant of the last probe.
    pub fn probed_at(&self) -> Option<ClockTime> {
        self.probe.probed_at
    }

    /// Whether it has rejected this or a higher epoch because it has seen a newer one.
    pub(crate) fn is_ahead_of(&self, epoch: GroupEpoch) -> bool {
        self.rejected_epoch
            .is_some_and(|rejected| rejected >= epoch)
    }
}

/// State of the planner. Every node keeps one, but only the owner acts on it.
#[derive(Clone, Debug)]
pub struct PlannerState {
    pub(crate) settings: PlannerSettings,
    pub(crate) node: NodeName,
    pub(crate) endpoints: BTreeMap<HostName, EndpointView>,
    /// Earliest instant at which an endpoint expires.
    pub(crate) expiry_due: Option<ClockTime>,
    /// Endpoints that were removed lately.
    pub(crate) departures: BTreeMap<HostName, EndpointDeparture>,
    /// Endpoints that a restored store lists although they have left, until `settled_at`.
    pub(crate) withheld: BTreeMap<HostName, Endpoint>,
    pub(crate) settled_at: Option<ClockTime>,
    pub(crate) record: Arc<GroupRecord>,
    /// Version of the record in the store; `None` until it was read.
    pub(crate) version: Option<ObjectVersion>,
    /// Whether the store has lost the record in a restore, so that it has to be written again.
    pub(crate) is_record_lost: bool,
    /// Instant at which this node received this version of the record.
    pub(crate) record_received_at: ClockTime,
    /// Record whose write is in flight.
    pub(crate) pending_record: Option<Arc<GroupRecord>>,
    /// Earliest instant of the next write, after a failed one.
    pub(crate) next_write_at: ClockTime,
    /// Version of the record by which this node claimed the groups; `None` until it has.
    pub(crate) claimed_version: Option<ObjectVersion>,
    /// Epochs that this node may still use.
    pub(crate) epochs: std::ops::Range<u64>,
    /// Epoch block that the write in flight reserves.
    pub(crate) requested_epochs: std::ops::Range<u64>,
    pub(crate) loads: LoadTracker,
    /// Home models that this node has assigned.
    pub(crate) homes: BTreeMap<FabricName, ModelName>,
    /// Demand for the models and the move of a domain between them.
    pub(crate) placement: PlacementState,
    /// Instant until which heads are probed often.
    pub(crate) frequent_head_probes_until: ClockTime,
    /// When most endpoints were last found silent together.
    pub(crate) common_silence_at: Option<ClockTime>,
    /// When each closing group was first seen closing.
    pub(crate) closing: BTreeMap<GroupEpoch, ClockTime>,
    /// Failure domains in which no group is formed or repaired.
    pub(crate) evacuated: EvacuatedDomains,
    /// Endpoints that are cold.
    pub(crate) cold: BTreeSet<HostName>,
}

impl PlannerState {
    /// Empty state, without endpoints or a record.
    pub fn new(settings: PlannerSettings, node: NodeName) -> Self {
        Self {
            settings,
            node,
            endpoints: BTreeMap::new(),
            expiry_due: None,
            departures: BTreeMap::new(),
            withheld: BTreeMap::new(),
            settled_at: None,
            record: Arc::default(),
            version: None,
            is_record_lost: false,
            record_received_at: ClockTime::default(),
            pending_record: None,
            next_write_at: ClockTime::default(),
            claimed_version: None,
            epochs: 0..0,
            requested_epochs: 0..0,
            loads: LoadTracker::default(),
            homes: BTreeMap::new(),
            placement: PlacementState::default(),
            frequent_head_probes_until: ClockTime::default(),
            common_silence_at: None,
            closing: BTreeMap::new(),
            evacuated: EvacuatedDomains::default(),
            cold: BTreeSet::new(),
        }
    }

    /// Newest known record.
    pub fn record(&self) -> &Arc<GroupRecord> {
        &self.record
    }

    /// Version of the newest known record; `None` until the store was read.
    pub fn version(&self) -> Option<ObjectVersion> {
        self.version
    }

    /// Version of the record by which this node claimed the groups; `None` until it has.
    pub fn claimed_version(&self) -> Option<ObjectVersion> {
        self.claimed_version
    }

    /// Endpoints by identity.
    pub fn endpoints(&self) -> &BTreeMap<HostName, EndpointView> {
        &self.endpoints
    }

    /// Whether an endpoint's failure domain is evacuated.
    pub(crate) fn is_evacuated(&self, view: &EndpointView) -> bool {
        self.evacuated.contains(&view.endpoint.domain)
    }

    /// Sets the endpoints that are cold; others are preferred as heads.
    pub fn set_cold(&mut self, cold: BTreeSet<HostName>) {
        self.cold = cold;
    }

    /// Allows groups of endpoints without weights until this instant.
    pub fn set_cold_start_until(&mut self, until: ClockTime) {
        self.settings.cold_start_until = until;
    }
}

/// Name of the standby group of a spare endpoint.
pub(crate) fn standby_name(id: &HostName) -> Option<GroupName> {
    GroupName::new(&format!("{STANDBY_PREFIX}{id}")).ok()
}

/// Whether a group is a standby group.
pub(crate) fn is_standby(group: &GroupName) -> bool {
    group.as_str().starts_with(STANDBY_PREFIX)
}
