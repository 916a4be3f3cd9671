//! Messages between nodes.

use std::net::SocketAddr;

use base::prelude::*;
use evacuation::EvacuationSet;
use notices::{Departure, LeavingReport, LimitReport};
use quarantine::CrashEvidence;
use relay::{LaneCounts, SendTarget};
use replicas::GroupRecord;

/// Node and the address that receives its messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Name of the node.
    pub node: NodeName,
    /// Address for messages.
    pub address: SocketAddr,
}

/// Time that a slow group takes for the same work, in percent of its usual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowPace(pub u32);

impl SlowPace {
    /// Threshold from which a group counts as slow; reports of a healthy group vary less.
    const MIN_PERCENT: u32 = 130;

    /// Pace of a group that takes `factor` times as long as usual; `None` if it isn't slow.
    pub fn new(factor: f64) -> Option<Self> {
        // A nearly stalled group counts like one that takes a hundred times as long.
        let percent = (factor * 100.0).clamp(0.0, 10_000.0) as u32;
        (percent >= Self::MIN_PERCENT).then_some(Self(percent))
    }

    /// Number of requests that the group can run in time, given the number at its usual
    /// speed; at least one.
    pub fn scale(self, slots: usize) -> usize {
        (slots.saturating_mul(100) / self.0.max(100) as usize).max(1)
    }
}

/// Part of all requests that arrive at a node, in thousandths of a request a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeWeight(pub u32);

impl NodeWeight {
    /// Weight of a node that gets this many requests a second.
    pub fn of_rate(per_second: f64) -> Self {
        Self::from_sum(per_second * 1_000.0)
    }

    /// Sum of weights.
    pub(crate) fn from_sum(sum: f64) -> Self {
        // Conversions of floating-point numbers saturate.
        Self(sum as u32)
    }
}

/// Demand for a model at a node, in thousandths of a request a second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandReport {
    /// Service of the requests.
    pub service: ServiceName,
    /// Model that they ask for.
    pub model: ModelName,
    /// Requests that arrive.
    pub arrivals: u32,
    /// Those of them whose client was refused before and has come back.
    pub returns: u32,
    /// Requests that are refused.
    pub refusals: u32,
    /// Mean priority of those that arrive, in tenths; zero is the most urgent.
    pub priority_tenths: u32,
}

impl DemandReport {
    /// Largest number of them in a digest.
    pub const MAX_COUNT: usize = 16;

    /// Adds what another node reports of the same model.
    pub(crate) fn add(&mut self, other: &Self) {
        let weight = u64::from(self.arrivals) + u64::from(other.arrivals);
        let weighted = |of: &Self| u64::from(of.arrivals) * u64::from(of.priority_tenths);
        if let Some(mean) = (weighted(self) + weighted(other)).checked_div(weight) {
            self.priority_tenths = u32::try_from(mean).unwrap_or(u32::MAX);
        }
        self.arrivals = self.arrivals.saturating_add(other.arrivals);
        self.returns = self.returns.saturating_add(other.returns);
        self.refusals = self.refusals.saturating_add(other.refusals);
    }
}

/// Versions of what send targets were computed from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetsVersion {
    /// Version by which earlier builds order them, about the newer of the two below.
    pub latest: ObjectVersion,
    /// Revision of the store up to which the endpoints were read.
    pub endpoints: ObjectVersion,
    /// Version of the record of groups.
    pub record: ObjectVersion,
}

impl From<ObjectVersion> for TargetsVersion {
    /// Version of targets of an earlier build, which names only one.
    fn from(version: ObjectVersion) -> Self {
        Self {
            latest: version,
            endpoints: version,
            record: version,
        }
    }
}

/// State of a node that it sends to others at regular intervals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Sending node.
    pub from: NodeName,
    /// Version of its active configuration; zero for none.
    pub config_version: u64,
    /// Newest version of the configuration that it knows to exist; zero for none.
    pub known_config: u64,
    /// Instant at which the store last responded to it; `None` for never, and from earlier builds.
    pub store_contact: Option<ClockTime>,
    /// The same of all nodes whose digests it hears, from a hub.
    pub heard_contact: Option<ClockTime>,
    /// Version of its record of groups; zero for none.
    pub record_version: ObjectVersion,
    /// Version of the send targets that it uses; zero for none.
    pub targets_version: ObjectVersion,
    /// Version of the owner's targets that it has, in the form of earlier builds; zero for none.
    pub forwarded_version: ObjectVersion,
    /// Version of the owner's targets that it has; `None` for none, and from earlier builds.
    pub received_version: Option<TargetsVersion>,
    /// Whether it owns the groups.
    pub is_owner: bool,
    /// Whether it can own the groups: it reaches the store and isn't stopping.
    pub can_own: bool,
    /// Whether it reaches no server.
    pub is_cut_off: bool,
    /// Hub that sends it the sums of all nodes; `None` if it has not chosen one or is a hub.
    pub summing_hub: Option<NodeName>,
    /// Whether `counts` are the sums of all nodes.
    pub has_sums: bool,
    /// Its requests at each target, or those of all nodes if it is the receiver's summing hub.
    pub counts: Vec<(HostName, LaneCounts)>,
    /// Heads of groups that send it no bytes.
    pub silent_heads: Vec<HostName>,
    /// Slow groups by their heads; only the owner sends them.
    pub slow_groups: Vec<(HostName, SlowPace)>,
    /// Hash of its crash reports that every node must know.
    pub quarantine_hash: u64,
    /// Its weight, or the sum of those of all nodes if `counts` are sums.
    pub weight: NodeWeight,
    /// Limits that servers have named to it, or to any node if `counts` are sums.
    pub limits: Vec<LimitReport>,
    /// Servers that have told it that they leave, or told any node if `counts` are sums.
    pub leaving: Vec<LeavingReport>,
    /// Servers that have left as it has read in the store, a hub also those that it has heard of.
    pub departures: Vec<Departure>,
    /// Newest set of evacuated failure domains that it knows; `None` if it knows none, and from
    /// earlier builds.
    pub evacuations: Option<EvacuationSet>,
    /// Demand for the models at it, or at all nodes if `counts` are sums; empty if no service has
    /// engines with more than one model, and from earlier builds.
    pub demand: Vec<DemandReport>,
}

impl Digest {
    /// Bytes of the fields of a single value, and of one entry of the other ones, when encoded.
    const FIXED_BYTES: usize = 100;
    const COUNT_BYTES: usize = 20;
    const NAME_BYTES: usize = 16;
    const REPORT_BYTES: usize = 32;
    const DEMAND_BYTES: usize = 40;

    /// About the size of its encoded form.
    pub fn estimated_size(&self) -> usize {
        let evacuations = self.evacuations.iter();
        let evacuated: usize = evacuations.map(|set| set.domains.len()).sum();
        let names = self.silent_heads.len() + self.slow_groups.len() + evacuated;
        let reports = self.limits.len() + self.leaving.len() + self.departures.len();
        Self::FIXED_BYTES
            + self.counts.len() * Self::COUNT_BYTES
            + names * Self::NAME_BYTES
            + reports * Self::REPORT_BYTES
            + self.demand.len() * Self::DEMAND_BYTES
    }

    /// Number of reports of each of the three kinds for which this many bytes are enough, beside
    /// this many counts.
    pub fn report_limit(byte_count: usize, counts: usize) -> usize {
        let left = byte_count.saturating_sub(Self::FIXED_BYTES + counts * Self::COUNT_BYTES);
        left / (3 * Self::REPORT_BYTES)
    }

    /// Adds what an older digest reports once, because this one is sent in its place.
    pub fn add_reports(&mut self, older: &Self) {
        // Receivers disregard the reports of a node that is cut off.
        if older.is_cut_off {
            return;
        }
        let heads = older.silent_heads.iter();
        let missing = heads.filter(|head| !self.silent_heads.contains(head));
        let missing: Vec<_> = missing.cloned().collect();
        self.silent_heads.extend(missing);
    }
}

/// Message from one node to another.
#[derive(Clone, Debug)]
pub enum PeerMessage {
    /// State of the sender.
    Digest(Box<Digest>),
    /// Configuration that the receiver lacks, and the text that it was parsed from.
    RoutingConfig(Arc<intent::RoutingConfig>, Arc<str>),
    /// Send targets that the receiver lacks.
    Targets(Arc<[SendTarget]>, TargetsVersion),
    /// Record of groups that the receiver lacks.
    Record(Arc<GroupRecord>, ObjectVersion),
    /// Crashes of servers, and the parts of prompts that they may be due to.
    Crashes(Box<CrashEvidence>),
}

impl PeerMessage {
    /// Kind of digests.
    pub const DIGEST_KIND: &'static str = "digest";

    /// Kind, for logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Digest(_) => Self::DIGEST_KIND,
            Self::RoutingConfig(..) => "configuration",
            Self::Targets(..) => "targets",
            Self::Record(..) => "record",
            Self::Crashes(_) => "crashes",
        }
    }
}

/// Least time for a message that doesn't share its connection with others.
const MIN_TRANSFER_TIME: Duration = Duration::from_millis(600);
/// Slowest rate at which such a message may arrive: a tenth of the smallest link.
const MIN_TRANSFER_BYTES_PER_MS: u64 = 250;

/// Time after which the transfer of a message of this size is given up.
pub fn transfer_timeout(byte_count: usize) -> Duration {
    let byte_count = u64::try_from(byte_count).unwrap_or(u64::MAX);
    MIN_TRANSFER_TIME + Duration::from_millis(byte_count / MIN_TRANSFER_BYTES_PER_MS)
}
