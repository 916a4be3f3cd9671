//! Servers that are cold: how long, and which nodes may send to them meanwhile.
//!
//! A cold server takes a bounded number of requests in any second from all nodes together. Divided
//! among all nodes, that is less than one each, so only a few nodes send to it, a fixed number in
//! any second each.
//!
//! The senders are chosen by rendezvous hashing among the nodes that have an entry in the store:
//! of the first candidates for a server, those that are alive. Views of which nodes are alive may
//! differ, but all candidates together stay below the ceiling, so any number of views does too.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::ServerRun;

/// Most requests that one sender sends a cold server within [`SEND_WINDOW`].
const MAX_PER_SENDER: u32 = 4;
/// Time over which the requests of a sender are counted. Longer than a second because requests may
/// arrive closer together than they were chosen: a busy event loop lags by up to 200 ms.
pub(crate) const SEND_WINDOW: Duration = Duration::from_millis(1_200);
/// Time for which a server that is no longer listed is remembered.
const ABSENCE_VALIDITY: Duration = Duration::from_secs(120);
/// Largest number of servers that are remembered.
const MAX_SERVERS: usize = 20_000;

/// Requests that a cold server may receive in any second from all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdCeiling(u32);

impl ColdCeiling {
    /// Ceiling of a server that tolerates `per_second` requests, times `over` plus `slack`; `None`
    /// if it tolerates none, which means that its service has no cold servers.
    pub fn new(per_second: f64, over: f64, slack: f64) -> Option<Self> {
        let ceiling = per_second * over + slack;
        // Conversions of floating-point numbers saturate.
        (per_second > 0.0 && ceiling.is_finite()).then(|| Self(ceiling.max(0.0) as u32))
    }

    /// Requests a second.
    pub fn per_second(self) -> u32 {
        self.0
    }

    /// Most requests of one sender within the window; zero if the ceiling is below two.
    pub fn per_sender(self) -> u32 {
        MAX_PER_SENDER.min(self.0 / 2)
    }

    /// Number of senders of one view of the nodes; twice as many stay below the ceiling.
    pub fn sender_count(self) -> usize {
        let count = (self.0 / 2) / self.per_sender().max(1);
        count.max(1) as usize
    }
}

/// Time in which a server is cold, and the nodes that may send to it meanwhile.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdWindow {
    /// End of that time.
    pub until: ClockTime,
    /// Nodes that may send to it; none if nobody knows enough to name them.
    pub senders: Arc<[NodeName]>,
}

/// Nodes that may send to a cold server: of the first candidates by their rank, twice the number
/// of senders, as many as are alive.
///
/// Nodes that know the same entries have the same candidates, whichever they take to be alive.
pub fn select_senders<'a>(
    run: &ServerRun,
    ceiling: ColdCeiling,
    nodes: impl Iterator<Item = (&'a NodeName, bool)>,
) -> Arc<[NodeName]> {
    let mut ranked: Vec<_> = nodes
        .map(|(node, is_alive)| (sender_rank(run, node), node, is_alive))
        .collect();
    ranked.sort_unstable();
    let count = ceiling.sender_count();
    let candidates = ranked.into_iter().take(count * 2);
    let alive = candidates.filter(|(.., is_alive)| *is_alive).take(count);
    alive.map(|(_, node, _)| node.clone()).collect()
}

/// Rank of a node among the senders of a server: FNV-1a, mixed (splitmix64). The same in all
/// builds, so that nodes of different builds choose the same senders.
fn sender_rank(run: &ServerRun, node: &NodeName) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    let incarnation = run.incarnation.0.to_le_bytes();
    let fields = [
        run.server.as_str().as_bytes(),
        &incarnation,
        node.as_str().as_bytes(),
    ];
    for byte in fields.into_iter().flatten() {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// From where a node knows that a server is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdSource {
    /// Its entry in the store says so.
    Entry,
    /// It was first listed while this node followed the list, so it has just started.
    FirstSeen,
    /// The evacuation of its failure domain has ended.
    Evacuation,
}

impl ColdSource {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::FirstSeen => "first-seen",
            Self::Evacuation => "evacuation",
        }
    }
}

/// What an entry in the store says of a server, as read at an instant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdReading {
    /// The server and its start.
    pub run: ServerRun,
    /// Version of the entry; zero if it is unknown.
    pub version: ObjectVersion,
    /// How long the server remains cold; `None` if the entry doesn't say.
    pub remaining: Option<Duration>,
}

/// Server whose entry this node has read.
#[derive(Clone, Debug)]
struct KnownServer {
    incarnation: HostIncarnation,
    /// Version of the entry that was read last.
    version: ObjectVersion,
    cold: Option<(ClockTime, ColdSource)>,
    /// Since when it is not listed.
    absent_since: Option<ClockTime>,
}

/// Servers that this node knows to be cold.
#[derive(Clone, Debug, Default)]
pub struct ColdState {
    servers: BTreeMap<HostName, KnownServer>,
    /// Failure domains whose servers all count as cold, and until when.
    domains: BTreeMap<DomainName, ClockTime>,
}

impl ColdState {
    /// State without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records what an entry says. A start that was not listed before counts as cold for `assumed`
    /// from now on, unless the entry says for how long it is; later entries decide.
    ///
    /// An entry that was read before says nothing new, as the time since it was written is unknown.
    pub fn record(&mut self, reading: &ColdReading, assumed: Option<Duration>, now: ClockTime) {
        let run = &reading.run;
        let remaining = reading.remaining;
        let named = remaining
            .filter(|remaining| !remaining.is_zero())
            .map(|remaining| (now + remaining, ColdSource::Entry));
        if let Some(known) = self.servers.get_mut(&run.server)
            && known.incarnation == run.incarnation
        {
            known.absent_since = None;
            if reading.version.exists() && reading.version <= known.version {
                return;
            }
            known.version = reading.version;
            if remaining.is_some() {
                known.cold = named;
            }
            return;
        }
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(&run.server) {
            return;
        }
        let assumed = assumed.map(|duration| (now + duration, ColdSource::FirstSeen));
        let server = KnownServer {
            incarnation: run.incarnation,
            version: reading.version,
            cold: named.or(assumed),
            absent_since: None,
        };
        self.servers.insert(run.server.clone(), server);
    }

    /// Treats all servers of a failure domain as cold until an instant, whatever entries say.
    pub fn mark_domain(&mut self, domain: &DomainName, until: ClockTime) {
        let marked = self.domains.entry(domain.clone()).or_default();
        *marked = until.max(*marked);
    }

    /// Until when a failure domain counts as cold.
    pub fn domain_until(&self, domain: &DomainName) -> Option<ClockTime> {
        self.domains.get(domain).copied()
    }

    /// Until when a start of a server in a failure domain counts as cold, and from where that is
    /// known; the longest time counts.
    pub fn cold_until(
        &self,
        run: &ServerRun,
        domain: &DomainName,
    ) -> Option<(ClockTime, ColdSource)> {
        let known = self.servers.get(&run.server);
        let known = known.filter(|known| known.incarnation == run.incarnation);
        let own = known.and_then(|known| known.cold);
        let marked = (self.domain_until(domain)).map(|until| (until, ColdSource::Evacuation));
        [own, marked]
            .into_iter()
            .flatten()
            .max_by_key(|(until, _)| *until)
    }

    /// Whether no server is known to be cold.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty() && self.servers.values().all(|known| known.cold.is_none())
    }

    /// Ends the times that are over; returns whether there were any.
    pub fn expire(&mut self, now: ClockTime) -> bool {
        let domains = self.domains.len();
        self.domains.retain(|_, until| *until > now);
        let mut is_changed = self.domains.len() != domains;
        for known in self.servers.values_mut() {
            if known.cold.is_some_and(|(until, _)| until <= now) {
                known.cold = None;
                is_changed = true;
            }
        }
        is_changed
    }

    /// Forgets servers that have not been listed for long.
    pub fn retain(&mut self, is_listed: impl Fn(&HostName) -> bool, now: ClockTime) {
        self.servers.retain(|server, known| {
            if is_listed(server) {
                known.absent_since = None;
                return true;
            }
            let since = *known.absent_since.get_or_insert(now);
            now.since(since) < ABSENCE_VALIDITY
        });
    }
}
