//! State of the event loop.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use base::prelude::*;
use evacuation::EvacuationState;
use intent::{ConfigNotices, ConfigSlot};
use limits::BudgetSettings;
use notices::{ColdState, DepartureState};
use quarantine::queries::EvidenceCursor;
use quarantine::{CrashVerdict, QuarantineSettings, QuarantineState};
use reach::{ReachSettings, ReachState};
use relay::{AttemptId, RelaySettings, RelayState, SendOrder, SendTarget};
use replicas::{PlannerSettings, PlannerState};

use crate::border::ports::StoreCollection;
use crate::peer::{Digest, NodeWeight, SlowPace, TargetsVersion};
use crate::{ByteBudget, EdgeBounds, EdgeEffect, EdgeSettings, PassRequest, WatchMode};

/// Buckets in a retry window.
const RETRY_BUCKET_COUNT: u32 = 10;
/// Least number of nodes among which the retries that don't depend on traffic are split, as a
/// node that has just started doesn't know the others.
const MIN_RETRY_SLACK_SHARES: usize = 16;
/// Fraction of the allowed retries that is used, as the nodes' windows aren't aligned.
const RETRY_FRACTION: f64 = 0.8;
/// Time after the first start in which groups are formed of endpoints that have not
/// loaded the model's weights.
pub(crate) const COLD_START_WINDOW: Duration = Duration::from_millis(9_000);

/// Intervals and timeouts of the event loop.
#[derive(Clone, Debug)]
pub struct EdgeTimes {
    /// Interval between two digests, for each other node.
    pub digest_interval_per_peer: Duration,
    /// The same for a hub of a large deployment, for each node that it sends the sums to.
    pub hub_digest_interval_per_peer: Duration,
    /// The same for each target that the sums name, if that is longer.
    pub hub_digest_interval_per_target: Duration,
    /// The same for a node that is no hub.
    pub spoke_digest_interval_per_peer: Duration,
    /// Shortest interval between two digests.
    pub min_digest_interval: Duration,
    /// Longest interval between two digests.
    pub max_digest_interval: Duration,
    /// Time without a digest after which another node counts as gone.
    pub peer_timeout: Duration,
    /// Time without a digest of a node after which the connection to it is replaced, and first
    /// interval between two replacements. It may hang without a reset.
    pub link_timeout: Duration,
    /// Age from which a connection to a node is replaced when that node opens a new one.
    pub link_settling_time: Duration,
    /// Time without sums after which a node chooses another summing hub.
    pub sums_timeout: Duration,
    /// Time for which a hub that sent no sums isn't chosen again.
    pub summing_hub_exclusion: Duration,
    /// Time after the start in which a node of a large deployment waits for targets before it
    /// lists the endpoints itself.
    pub initial_targets_timeout: Duration,
    /// Time without a digest of an owner after which a node of a large deployment watches the
    /// store itself.
    pub owner_change_timeout: Duration,
    /// Time without a response of the store after which this node can't own the groups.
    pub store_timeout: Duration,
    /// Time after a failed or unanswered write in which this node can't own the groups.
    pub write_failure_backoff: Duration,
    /// Time for which a node doesn't take back the groups from the one that took them over.
    pub yield_duration: Duration,
    /// Time after the start in which nodes without a digest count as busy as this one.
    pub startup_report_window: Duration,
    /// Time for the nodes of a large deployment to read a configuration from the store
    /// before another node sends it to them.
    pub config_propagation_delay: Duration,
    /// Lag of the event loop from which the node counts as overloaded.
    pub lag_threshold: Duration,
    /// Time after an overload in which probe timeouts of this node are disregarded.
    pub lag_window: Duration,
    /// Interval between two runs of the owner's planner without events.
    pub plan_interval: Duration,
    /// Shortest interval between two runs of the planner, for each endpoint.
    pub min_plan_interval_per_endpoint: Duration,
    /// Time after SIGTERM in which the platform notices that the node isn't ready.
    pub readiness_propagation_delay: Duration,
    /// Time before the end of the grace period at which the process exits.
    pub exit_margin: Duration,
    /// Shortest outage of the store in which entries of endpoints can expire.
    pub min_outage: Duration,
    /// Time after such an outage in which missing endpoints may be listed again.
    pub relist_window: Duration,
    /// Time after a restore of the store from a copy in which entries that nobody writes any more
    /// are removed.
    pub restore_settling_time: Duration,
    /// Time after the start before this node can own the groups, so that it learns of
    /// other nodes and endpoints first.
    pub ownership_start_delay: Duration,
}

impl Default for EdgeTimes {
    fn default() -> Self {
        Self {
            // A node sends about 140 digests a second, however many nodes there are.
            digest_interval_per_peer: Duration::from_millis(7),
            // A hub sends and receives 2,000 digests a second, however many nodes there are.
            hub_digest_interval_per_peer: Duration::from_micros(500),
            // A target takes 20 bytes; this limits a hub to 2 MB a second.
            hub_digest_interval_per_target: Duration::from_micros(10),
            spoke_digest_interval_per_peer: Duration::from_micros(500),
            // At the busiest node, requests arrive every 40 ms.
            min_digest_interval: Duration::from_millis(40),
            // Half of `peer_timeout`.
            max_digest_interval: Duration::from_millis(400),
            // Three digests may be late on a busy machine.
            peer_timeout: Duration::from_millis(800),
            // Longer than `peer_timeout`, so that a busy node's connections are kept.
            link_timeout: Duration::from_millis(1_000),
            // Two messages; shorter than `link_timeout`, so that no replacement is left out.
            link_settling_time: Duration::from_millis(800),
            // Several of the usual intervals, but well below the validity of the counts.
            sums_timeout: Duration::from_millis(400),
            // Long enough for the other nodes to replace it as a hub.
            summing_hub_exclusion: Duration::from_millis(3_000),
            // A hub has listed the endpoints after some 200 ms.
            initial_targets_timeout: Duration::from_millis(1_000),
            // Another node takes over after `peer_timeout` and then sends the targets.
            owner_change_timeout: Duration::from_millis(1_500),
            // A watch of the endpoints ends at least every two and a half seconds.
            store_timeout: Duration::from_millis(3_000),
            // Long enough for another node to take over.
            write_failure_backoff: Duration::from_millis(1_000),
            // Otherwise two nodes that can't reach each other would undo each other's changes.
            yield_duration: Duration::from_millis(3_000),
            // Nodes that start together receive each other's digests within a second.
            startup_report_window: Duration::from_millis(1_500),
            // A pending watch returns at once, but a large configuration takes longer to read.
            config_propagation_delay: Duration::from_millis(700),
            // Half of the timeout of a probe.
            lag_threshold: Duration::from_millis(65),
            // Two probe timeouts: the previous probe and the current one.
            lag_window: Duration::from_millis(260),
            // Half of the shortest step of a group.
            plan_interval: Duration::from_millis(100),
            // About ten times the planner's run time for each endpoint on a quarter of a core.
            min_plan_interval_per_endpoint: Duration::from_micros(20),
            // The platform checks every second and needs two failed checks.
            readiness_propagation_delay: Duration::from_millis(2_600),
            // Time to write the last responses.
            exit_margin: Duration::from_millis(500),
            // Endpoints write their entries about as often, and may miss two writes.
            min_outage: Duration::from_millis(1_000),
            // The platform lists endpoints again within two seconds.
            relist_window: Duration::from_millis(2_200),
            // The platform removes entries after three heartbeats without a write.
            restore_settling_time: Duration::from_millis(5_000),
            // One digest interval, so that one node starts and not all of them.
            ownership_start_delay: Duration::from_millis(300),
        }
    }
}

/// State of a collection's watch.
#[derive(Clone, Debug, Default)]
pub(crate) struct CollectionState {
    /// Last response of the store.
    pub last_response_at: Option<ClockTime>,
    /// Whether the collection was listed at least once.
    pub is_listed: bool,
    /// Instant of the first list.
    pub first_listed_at: Option<ClockTime>,
    /// Whether the last call failed.
    pub is_unavailable: bool,
    /// Revision of the store up to which the collection was read.
    pub revision: ObjectVersion,
    /// End of the last outage of the store in which entries can have expired.
    pub recovered_at: Option<ClockTime>,
}

/// Another node.
#[derive(Clone, Debug)]
pub(crate) struct PeerState {
    pub address: SocketAddr,
    pub last_digest_at: Option<ClockTime>,
    pub digest: Option<Digest>,
    /// Address for requests that it passes on; `None` if its build passes none on.
    pub passing: Option<SocketAddr>,
    /// Thousandths of a core that it may use.
    pub capacity: u32,
    /// Its failure domain; `None` if its entry doesn't say.
    pub domain: Option<DomainName>,
    /// Since when it has been a hub; `None` if it is none.
    pub hub_since: Option<ClockTime>,
    /// Instant until which it can't be a hub, because it sent no digests as a hub.
    pub excluded_until: ClockTime,
    /// Instant until which it isn't chosen as the summing hub, because it sent no sums.
    pub no_sums_until: ClockTime,
    /// Last instant at which a digest was sent to it.
    pub digest_sent_at: Option<ClockTime>,
    /// Instant before which the connection to it isn't replaced.
    pub reconnect_due: ClockTime,
    /// Replacements of the connection since a digest of it arrived.
    pub reconnects: u32,
    /// Instant at which the connection to it was opened or last replaced.
    pub link_opened_at: Option<ClockTime>,
    /// Targets that were last sent to it.
    pub sent_targets: Option<SentTargets>,
    /// Configuration that it lacks.
    pub config_gap: Option<SupplyGap>,
    /// Record of groups that it lacks.
    pub record_gap: Option<SupplyGap>,
    /// Transfer of a configuration to it.
    pub config_transfer: TransferState,
    /// Last instant at which the record of groups was sent to it.
    pub record_sent_at: Option<ClockTime>,
    /// Up to where it was told what all nodes must know of crashes.
    pub evidence_cursor: EvidenceCursor,
    /// Instant from which it may be told more.
    pub evidence_due: ClockTime,
    /// Since when its digests show other evidence than this node's.
    pub other_evidence_since: Option<ClockTime>,
}

impl PeerState {
    pub fn new(address: SocketAddr, capacity: u32, domain: Option<DomainName>) -> Self {
        Self {
            address,
            passing: None,
            capacity,
            domain,
            hub_since: None,
            excluded_until: ClockTime::default(),
            no_sums_until: ClockTime::default(),
            digest_sent_at: None,
            reconnect_due: ClockTime::default(),
            reconnects: 0,
            link_opened_at: None,
            sent_targets: None,
            last_digest_at: None,
            digest: None,
            config_gap: None,
            record_gap: None,
            config_transfer: TransferState::default(),
            record_sent_at: None,
            evidence_cursor: EvidenceCursor::default(),
            evidence_due: ClockTime::default(),
            other_evidence_since: None,
        }
    }
}

/// Targets that were sent to another node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentTargets {
    pub version: TargetsVersion,
    pub at: ClockTime,
    /// How often they were sent again.
    pub repeats: u32,
}

/// What another node lacks, while it gets nothing newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SupplyGap {
    /// Version that it has.
    pub version: ObjectVersion,
    /// Since when its digests show that version as older.
    pub since: ClockTime,
}

/// Transfer of a configuration to another node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TransferState {
    /// Instant at which the transfer under way counts as lost; `None` if there is none.
    pub lost_at: Option<ClockTime>,
    /// End of the last transfer.
    pub ended_at: Option<ClockTime>,
    /// Since when the next transfer waits for others to end.
    pub waiting_since: Option<ClockTime>,
}

/// Attempt that another node passes on.
#[derive(Clone, Debug)]
pub(crate) struct PassedAttempt {
    pub order: SendOrder,
    pub node: NodeName,
    /// Nodes that were asked before.
    pub refusals: u32,
}

/// Attempt that this node carries for another one.
#[derive(Clone, Debug)]
pub(crate) struct CarriedAttempt {
    pub request: PassRequest,
    pub sent_at: ClockTime,
}

/// Hub from which a node gets the sums.
#[derive(Clone, Debug)]
pub(crate) struct SummingHub {
    pub node: NodeName,
    /// Last instant at which it sent sums, or was chosen.
    pub heard_at: ClockTime,
}

/// Progress of a shutdown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopState {
    pub since: ClockTime,
    pub is_draining: bool,
}

/// State of the event loop.
pub struct EdgeState {
    pub(crate) settings: EdgeSettings,
    pub(crate) times: EdgeTimes,
    pub(crate) started_at: ClockTime,
    pub(crate) config: ConfigSlot,
    /// Text of the active configuration, to be sent to other nodes.
    pub(crate) config_text: Option<Arc<str>>,
    /// Latest versions of the configuration, and when each became active on this node.
    pub(crate) config_history: VecDeque<(u64, ClockTime)>,
    pub(crate) planner: PlannerState,
    pub(crate) relay: RelayState,
    pub(crate) quarantine: QuarantineState,
    /// Whether this node reaches the servers.
    pub(crate) reach: ReachState,
    /// Instant from which the other nodes have said if they reach no servers, either.
    pub(crate) reach_compared_at: ClockTime,
    /// Requests that another node passes on.
    pub(crate) passed: HashMap<AttemptId, PassedAttempt>,
    /// Attempts that this node carries for others.
    pub(crate) carried: HashMap<CallId, CarriedAttempt>,
    /// Endpoints whose probes got no response while this node may have been cut off.
    pub(crate) held_probes: BTreeSet<HostName>,
    /// Instant at which this node's crash reports are sent next; `None` if there are none.
    pub(crate) evidence_due: Option<ClockTime>,
    /// What was quarantined when that was last logged, and the number of changes until then.
    pub(crate) logged_verdicts: Vec<CrashVerdict>,
    pub(crate) logged_verdict_changes: u64,
    /// Bytes of this node's own crash reports.
    pub(crate) own_evidence_budget: ByteBudget,
    /// Bytes of messages with what all nodes must know of crashes.
    pub(crate) watched_evidence_budget: ByteBudget,
    /// Effects of a request's question, which is answered at once; executed at the next wake.
    pub(crate) unsent_effects: Vec<EdgeEffect>,
    pub(crate) collections: BTreeMap<StoreCollection, CollectionState>,
    pub(crate) peers: BTreeMap<NodeName, PeerState>,
    /// Nodes that receive the digests of all others; all nodes in a small deployment.
    pub(crate) hubs: BTreeSet<NodeName>,
    /// Hub that sends this node the sums of all nodes' counts.
    pub(crate) summing_hub: Option<SummingHub>,
    /// Last instant at which sums arrived.
    pub(crate) sums_received_at: Option<ClockTime>,
    /// Sum of all nodes' weights, as the summing hub sends it.
    pub(crate) received_weight: Option<NodeWeight>,
    /// Last digest of a node that owned the groups and reached the store.
    pub(crate) owner_seen_at: Option<ClockTime>,
    /// Newest targets that owners have sent, and their version. A hub passes them on to the nodes
    /// that it sends the sums to.
    pub(crate) received_targets: Option<(Arc<[SendTarget]>, TargetsVersion)>,
    /// Revision up to which the endpoints were read that the groups among them are of.
    pub(crate) received_groups_read: ObjectVersion,
    /// Servers that have left, as this node or others have read in the store.
    pub(crate) departures: DepartureState,
    /// Evacuated failure domains.
    pub(crate) evacuations: EvacuationState,
    /// Servers that this node knows to be cold.
    pub(crate) cold: ColdState,
    /// Instant at which it was last checked which nodes are alive.
    pub(crate) cold_checked_at: ClockTime,
    /// Whether this node knows the others well enough to name senders for cold servers.
    pub(crate) names_senders: bool,
    /// Whether targets have changed while the version by which others take them has not.
    pub(crate) awaits_targets_version: bool,
    /// Cold servers that were logged, with their starts.
    pub(crate) logged_cold: BTreeMap<HostName, HostIncarnation>,
    /// Targets that this node uses.
    pub(crate) targets: Arc<[SendTarget]>,
    /// Version of the last change of `targets`.
    pub(crate) targets_version: TargetsVersion,
    /// Whether `targets` have changed since they were last sent to other nodes.
    pub(crate) has_unsent_targets: bool,
    /// When the targets are sent to the next node that waits for them; `None` if none does.
    pub(crate) targets_due: Option<ClockTime>,
    /// Instant from which the budget for targets allows a message.
    pub(crate) targets_budget_due: ClockTime,
    pub(crate) digest_due: ClockTime,
    pub(crate) plan_due: ClockTime,
    /// Last run of the planner.
    pub(crate) last_plan_at: Option<ClockTime>,
    /// Whether an event since then requires a run of the planner.
    pub(crate) needs_plan: bool,
    pub(crate) inventory_log_due: ClockTime,
    /// Instant from which the owner compares the demand for the models with their groups again.
    pub(crate) placement_due: ClockTime,
    pub(crate) is_owner: bool,
    /// Whether this node probes the groups while nobody can own them.
    pub(crate) is_prober: bool,
    /// How the collections are watched.
    pub(crate) watch_mode: WatchMode,
    /// Version of the configuration that was last reported as a metric.
    pub(crate) reported_config: Option<u64>,
    /// Versions of the configuration that other nodes have and this one lacks.
    pub(crate) config_notices: ConfigNotices,
    /// Whether requests are rejected because the configuration is too old.
    pub(crate) is_config_outdated: bool,
    /// Since when no hub that this node hears could own the groups; `None` if one can.
    pub(crate) hubs_lost_at: Option<ClockTime>,
    /// Last instant at which another node took the groups over from this one.
    pub(crate) yielded_at: Option<ClockTime>,
    /// Last write that failed or got no response.
    pub(crate) last_write_failure_at: Option<ClockTime>,
    /// Version of this node's entry in the shared collection.
    pub(crate) entry_version: ObjectVersion,
    pub(crate) is_registering: bool,
    pub(crate) registration_due: ClockTime,
    pub(crate) is_registered: bool,
    /// Slow groups by their heads, as the owner reports them.
    pub(crate) slow_groups: BTreeMap<HostName, SlowPace>,
    /// Heads of groups without progress, to be reported in the next digest.
    pub(crate) silent_heads: BTreeSet<HostName>,
    /// The same, reported by other nodes, for those that this hub sends the sums to.
    pub(crate) reported_silent_heads: BTreeSet<HostName>,
    /// Last instant at which the event loop lagged.
    pub(crate) last_lag_at: Option<ClockTime>,
    pub(crate) stopping: Option<StopState>,
    /// State of the random generator that picks a service by weight.
    pub(crate) random_state: u64,
}

impl EdgeState {
    /// Creates the state of a node that starts now.
    pub fn new(settings: EdgeSettings, times: EdgeTimes, seed: u64, now: ClockTime) -> Self {
        let budget = budget_of(&settings.bounds, 1);
        let mut planner_settings = PlannerSettings::default();
        if settings.is_first_start {
            planner_settings.cold_start_until = now + COLD_START_WINDOW;
        }
        let mut relay = RelayState::new(RelaySettings::default(), budget, settings.domain.clone());
        relay.seed_choice(seed);
        notices::commands::hold_cold(relay.notices_mut(), now);
        Self {
            planner: PlannerState::new(planner_settings, settings.node.clone()),
            relay,
            quarantine: QuarantineState::new(QuarantineSettings::default()),
            reach: ReachState::new(ReachSettings::default()),
            passed: HashMap::new(),
            carried: HashMap::new(),
            held_probes: BTreeSet::new(),
            evidence_due: None,
            logged_verdicts: Vec::new(),
            logged_verdict_changes: 0,
            own_evidence_budget: ByteBudget::default(),
            watched_evidence_budget: ByteBudget::default(),
            unsent_effects: Vec::new(),
            settings,
            times,
            started_at: now,
            config: ConfigSlot::default(),
            config_text: None,
            config_history: VecDeque::new(),
            collections: BTreeMap::new(),
            peers: BTreeMap::new(),
            hubs: BTreeSet::new(),
            summing_hub: None,
            sums_received_at: None,
            received_weight: None,
            owner_seen_at: None,
            received_targets: None,
            received_groups_read: ObjectVersion::default(),
            departures: DepartureState::new(),
            evacuations: EvacuationState::new(),
            cold: ColdState::new(),
            cold_checked_at: now,
            names_senders: false,
            awaits_targets_version: false,
            logged_cold: BTreeMap::new(),
            targets: Arc::new([]),
            targets_version: TargetsVersion::default(),
            has_unsent_targets: false,
            targets_due: None,
            targets_budget_due: now,
            digest_due: now,
            plan_due: now,
            last_plan_at: None,
            needs_plan: false,
            inventory_log_due: now,
            placement_due: now,
            is_owner: false,
            is_prober: false,
            watch_mode: WatchMode::default(),
            reported_config: None,
            config_notices: ConfigNotices::default(),
            is_config_outdated: false,
            hubs_lost_at: None,
            yielded_at: None,
            last_write_failure_at: None,
            entry_version: ObjectVersion::default(),
            is_registering: false,
            registration_due: now,
            is_registered: false,
            slow_groups: BTreeMap::new(),
            reach_compared_at: now,
            silent_heads: BTreeSet::new(),
            reported_silent_heads: BTreeSet::new(),
            last_lag_at: None,
            stopping: None,
            random_state: seed,
        }
    }

    pub(crate) fn collection(&self, collection: StoreCollection) -> Option<&CollectionState> {
        self.collections.get(&collection)
    }
}

/// This node's share of the retries that the limits allow all nodes together.
///
/// The share of the requests holds whatever the other nodes do. What is allowed besides is
/// split among all nodes that have an entry, so that it holds without counts of the others.
pub(crate) fn budget_of(bounds: &EdgeBounds, node_count: usize) -> BudgetSettings {
    let slack_shares = node_count.max(MIN_RETRY_SLACK_SHARES) as f64;
    BudgetSettings {
        retry_share: bounds.retry_share * RETRY_FRACTION,
        retry_floor: (bounds.retry_slack / slack_shares) as u32,
        bucket_duration: bounds.retry_window / RETRY_BUCKET_COUNT,
        bucket_count: RETRY_BUCKET_COUNT as usize,
    }
}
