//! What the loop knows.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use base::prelude::*;
use intent::ConfigSlot;
use limits::BudgetSettings;
use relay::{RelaySettings, RelayState, SendTarget};
use replicas::{PlannerSettings, PlannerState};

use crate::border::ports::Feed;
use crate::peer::{Digest, SlowPace};
use crate::{EdgeBounds, EdgeSettings, FeedPace};

/// Buckets in a retry window.
const RETRY_BUCKETS: u32 = 10;
/// Nodes among which the extra sends that don't depend on traffic are split.
const SLACK_PARTS: f64 = 16.0;
/// Part of the allowed extra sends that is used; windows of nodes don't line up.
const RETRY_PART: f64 = 0.8;
/// Time after the start in which groups are formed of endpoints without weights.
const COLD_SPAN: Duration = Duration::from_millis(9_000);

/// Times of the node's own work.
#[derive(Clone, Debug)]
pub struct EdgeTimes {
    /// Time that each other node adds to the pause between two digests.
    pub digest_span: Duration,
    /// Time that each other node adds to the owner's pause where nodes hear only hubs.
    pub digest_owner: Duration,
    /// The same for each place that the digest names, if that is longer.
    pub digest_place: Duration,
    /// Time that each other node adds to the pause of a node that is no hub.
    pub digest_spoke: Duration,
    /// Shortest such pause.
    pub digest_least: Duration,
    /// Longest such pause.
    pub digest_most: Duration,
    /// Silence after which another node counts as gone.
    pub peer_silence: Duration,
    /// Silence of the store after which this node can't own the groups.
    pub store_silence: Duration,
    /// Time after a write without a good answer in which this node can't own the groups.
    pub write_pause: Duration,
    /// Time for which a node leaves the groups to the one that took them over.
    pub yield_span: Duration,
    /// Time after the start in which nodes that were not heard count as busy.
    pub blind_span: Duration,
    /// Time in which each of many nodes learns of a configuration from the store itself.
    pub intent_patience: Duration,
    /// Lateness of the loop from which the node takes itself to be overloaded.
    pub lag_limit: Duration,
    /// Time for which an overloaded node's own timeouts say nothing about others.
    pub lag_span: Duration,
    /// Pause between two looks at the groups by their owner if nothing happens.
    pub plan_period: Duration,
    /// Time that each endpoint adds to the least pause between two looks.
    pub plan_span: Duration,
    /// Time after SIGTERM in which the platform notices that the node isn't ready.
    pub unready_span: Duration,
    /// Time before the end of the grace period at which the process exits.
    pub exit_margin: Duration,
    /// Time after the store's return in which missing endpoints may come back.
    pub relist_span: Duration,
    /// Time after the start in which the owner waits for other nodes and endpoints.
    pub settle_span: Duration,
}

impl Default for EdgeTimes {
    fn default() -> Self {
        Self {
            // A node sends about 140 digests a second, however many nodes there are.
            digest_span: Duration::from_millis(7),
            // The owner sends and takes 2,000 digests a second, however many nodes there are.
            digest_owner: Duration::from_micros(500),
            // A place takes 20 bytes; this keeps the owner at 2 MB a second.
            digest_place: Duration::from_micros(10),
            digest_spoke: Duration::from_micros(500),
            // Requests come every 40 ms at the busiest node of today's sites.
            digest_least: Duration::from_millis(40),
            // Half of the silence that makes a node count as gone.
            digest_most: Duration::from_millis(400),
            // Three digests may be late on a busy machine.
            peer_silence: Duration::from_millis(800),
            // A watch of the endpoints ends at least every two and a half seconds.
            store_silence: Duration::from_millis(3_000),
            // Long enough for another node to take over.
            write_pause: Duration::from_millis(1_000),
            // Two nodes that don't hear each other would else undo each other's steps.
            yield_span: Duration::from_millis(3_000),
            // Nodes that start together hear one another within a second.
            blind_span: Duration::from_millis(1_500),
            // A watch that waits is answered at once; a large configuration takes longer.
            intent_patience: Duration::from_millis(700),
            // Half of the time that an endpoint gets to answer a question.
            lag_limit: Duration::from_millis(65),
            // Twice that time: the question before and the one under way.
            lag_span: Duration::from_millis(260),
            // Twice as fast as the quickest step of a group.
            plan_period: Duration::from_millis(100),
            // About ten times what a look takes for each endpoint on a quarter of a core.
            plan_span: Duration::from_micros(20),
            // The platform asks every second and needs two misses.
            unready_span: Duration::from_millis(2_600),
            // Time to write out the last answers.
            exit_margin: Duration::from_millis(500),
            // The platform lists endpoints again within two seconds.
            relist_span: Duration::from_millis(2_200),
            // One digest period, so that one node begins and not all.
            settle_span: Duration::from_millis(300),
        }
    }
}

/// What is known of a feed.
#[derive(Clone, Debug, Default)]
pub(crate) struct FeedState {
    /// Last answer of the store.
    pub heard_at: Option<ClockTime>,
    /// Whether the whole feed was read once.
    pub is_listed: bool,
    /// Whether the store gave no answer last.
    pub is_lost: bool,
    /// Revision of the store up to which it was read.
    pub revision: ObjectVersion,
    /// Last return of the store after an outage.
    pub back_at: Option<ClockTime>,
}

/// Another node.
#[derive(Clone, Debug)]
pub(crate) struct PeerState {
    pub address: SocketAddr,
    pub heard_at: Option<ClockTime>,
    pub digest: Option<Digest>,
    /// How much it can do.
    pub rank: u32,
    /// Since when it should be heard as a hub.
    pub expected_at: Option<ClockTime>,
    /// Instant until which it doesn't count as a hub, because it was not heard.
    pub silent_until: ClockTime,
    /// Last instant at which it was sent the places.
    pub places_sent: Option<ClockTime>,
    /// Last instants at which it was sent a configuration or a record.
    pub intent_sent: Option<ClockTime>,
    pub record_sent: Option<ClockTime>,
}

impl PeerState {
    pub fn new(address: SocketAddr, rank: u32) -> Self {
        Self {
            address,
            rank,
            expected_at: None,
            silent_until: ClockTime::default(),
            places_sent: None,
            heard_at: None,
            digest: None,
            intent_sent: None,
            record_sent: None,
        }
    }
}

/// Steps of the end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopState {
    pub since: ClockTime,
    pub is_draining: bool,
}

/// What the loop knows.
pub struct EdgeState {
    pub(crate) settings: EdgeSettings,
    pub(crate) times: EdgeTimes,
    pub(crate) started_at: ClockTime,
    pub(crate) intent: ConfigSlot,
    /// Text of the configuration in force, for other nodes.
    pub(crate) intent_text: Option<Arc<str>>,
    /// Latest versions of the configuration, and since when each has been in force here.
    pub(crate) intent_since: VecDeque<(u64, ClockTime)>,
    pub(crate) planner: PlannerState,
    pub(crate) relay: RelayState,
    pub(crate) feeds: BTreeMap<Feed, FeedState>,
    pub(crate) peers: BTreeMap<NodeName, PeerState>,
    /// Nodes that hear all others; every node, where there are few.
    pub(crate) hubs: BTreeSet<NodeName>,
    /// Places that a hub has told, and their version.
    pub(crate) told_places: Option<(Arc<[SendTarget]>, ObjectVersion)>,
    /// Places that this node uses.
    pub(crate) places: Arc<[SendTarget]>,
    /// Version at which they changed last.
    pub(crate) places_version: ObjectVersion,
    /// Whether they have changed since nodes were told.
    pub(crate) has_new_places: bool,
    pub(crate) digest_due: ClockTime,
    pub(crate) plan_due: ClockTime,
    /// Last look at the groups.
    pub(crate) planned_at: Option<ClockTime>,
    /// Whether something has happened since that the owner should act on.
    pub(crate) has_news: bool,
    pub(crate) stock_due: ClockTime,
    pub(crate) is_owner: bool,
    /// Pace at which the feeds are followed.
    pub(crate) pace: FeedPace,
    /// Last instant at which another node took the groups over from this one.
    pub(crate) yielded_at: Option<ClockTime>,
    /// Last write that got no good answer.
    pub(crate) write_fault_at: Option<ClockTime>,
    /// Version of this node's own entry in the shared feed.
    pub(crate) entry_version: ObjectVersion,
    pub(crate) is_announcing: bool,
    pub(crate) announce_due: ClockTime,
    pub(crate) is_announced: bool,
    /// Heads of groups that run slowly, as the owner knows.
    pub(crate) paces: BTreeMap<HostName, SlowPace>,
    /// Heads that give this node no bytes, and since when it says so.
    pub(crate) silent: BTreeSet<HostName>,
    /// Last instant at which the loop was late.
    pub(crate) lagged_at: Option<ClockTime>,
    pub(crate) stopping: Option<StopState>,
    pub(crate) draws: u64,
}

impl EdgeState {
    /// State of a node that starts now.
    pub fn new(settings: EdgeSettings, times: EdgeTimes, seed: u64, now: ClockTime) -> Self {
        let budget = budget_of(&settings.bounds);
        let mut planner_settings = PlannerSettings::default();
        if settings.is_first_start {
            planner_settings.cold_start_until = now + COLD_SPAN;
        }
        Self {
            planner: PlannerState::new(planner_settings, settings.node.clone()),
            relay: RelayState::new(RelaySettings::default(), budget, settings.zone.clone()),
            settings,
            times,
            started_at: now,
            intent: ConfigSlot::default(),
            intent_text: None,
            intent_since: VecDeque::new(),
            feeds: BTreeMap::new(),
            peers: BTreeMap::new(),
            hubs: BTreeSet::new(),
            told_places: None,
            places: Arc::new([]),
            places_version: ObjectVersion::default(),
            has_new_places: false,
            digest_due: now,
            plan_due: now,
            planned_at: None,
            has_news: false,
            stock_due: now,
            is_owner: false,
            pace: FeedPace::default(),
            yielded_at: None,
            write_fault_at: None,
            entry_version: ObjectVersion::default(),
            is_announcing: false,
            announce_due: now,
            is_announced: false,
            paces: BTreeMap::new(),
            silent: BTreeSet::new(),
            lagged_at: None,
            stopping: None,
            draws: seed,
        }
    }

    pub(crate) fn feed(&self, feed: Feed) -> Option<&FeedState> {
        self.feeds.get(&feed)
    }
}

/// This node's part of the extra sends that the bounds allow all nodes together.
pub(crate) fn budget_of(bounds: &EdgeBounds) -> BudgetSettings {
    BudgetSettings {
        retry_share: bounds.retry_share * RETRY_PART,
        retry_floor: (bounds.retry_slack / SLACK_PARTS) as u32,
        bucket_duration: bounds.retry_window / RETRY_BUCKETS,
        bucket_count: RETRY_BUCKETS as usize,
    }
}
