//! Fault plan of one run, generated from its seed.

mod foreign;
mod site;

pub use foreign::{ForeignForm, ForeignName};
pub use site::SitePlanSize;

use std::time::Duration;

use clap::ValueEnum;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::checker::RequestKind;

/// Range of the interval between two faults; faults last up to several times as
/// long, so that they overlap.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 200..1_500;
/// Range of the duration of a fault.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..4_000;
/// Range of the duration of a cut from the servers, which lasts longer than daemons need to notice.
const CUT_DURATION_MS: std::ops::Range<u64> = 3_000..7_000;
/// Range of the duration of a silence of the store, in which unanswered calls add up.
const SILENCE_DURATION_MS: std::ops::Range<u64> = 1_000..8_000;
/// Range of the duration of a silence of sound servers.
const SERVER_SILENCE_MS: std::ops::Range<u64> = 600..2_000;
/// Range of the time for which refusals are written again.
const REPEATED_REFUSALS_MS: std::ops::Range<u64> = 3_000..8_000;
/// Times from then until the plain servers come back under other ids.
const RENAME_DELAYS: [Duration; PLAIN_SERVER_COUNT] =
    [Duration::from_millis(700), Duration::from_millis(1_400)];
/// Silences of sound servers in a series, and the time from the start of one to the next.
const SERVER_SILENCES: u32 = 3;
const SERVER_SILENCE_INTERVAL: Duration = Duration::from_secs(3);
/// Time from the start of a silence of sound servers to a change of the configuration.
const CHANGE_DELAY: Duration = Duration::from_millis(300);
/// Time from the store's return until the daemons must know its current state.
const CONTACT_DELAY: Duration = Duration::from_millis(3_300);
/// Time for which a stream comes that crashes servers after its first event.
const DEADLY_STREAM_DURATION: Duration = Duration::from_secs(5);
/// Range of the interval between two restarts of plain servers under other ids.
const RESTART_INTERVAL_MS: std::ops::Range<u64> = 60..240;
/// Delay on the way to servers that restart.
const RESTART_LINK_DELAY: Duration = Duration::from_millis(60);
/// Number of times that another writer leaves entries.
const FOREIGN_ENTRIES: usize = 2;
/// Number of daemons from which they use hubs.
const HUB_NODES: usize = 11;
/// Range of the limit of a plain server, in requests a minute.
const PLAIN_LIMIT_PER_MINUTE: std::ops::Range<u32> = 60..300;

/// Number of plain servers; they have the first slots, engines the others.
pub(crate) const PLAIN_SERVER_COUNT: usize = 2;

/// Treatment of the connections through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Bytes are forwarded.
    Open,
    /// Bytes are forwarded after this delay.
    Delayed(Duration),
    /// Bytes are dropped in both directions, and new connections hang.
    Blackhole,
    /// Bytes towards the target are dropped, those from it are forwarded.
    OneWay,
    /// Connections are reset.
    Reset,
    /// Open connections live on, new ones are closed at once.
    RefuseNew,
    /// Once the target answers, bytes without end are sent until the client closes.
    Endless(EndlessForm),
}

/// Bytes without end in place of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessForm {
    /// Interim responses before the head.
    InterimResponses,
    /// A header before the end of the head.
    Header,
    /// The size of a chunk, after the beginning of the answer.
    ChunkSize,
    /// A line of an event, after the beginning of the answer.
    EventLine,
}

impl EndlessForm {
    /// All forms.
    pub const ALL: [Self; 4] = [
        Self::InterimResponses,
        Self::Header,
        Self::ChunkSize,
        Self::EventLine,
    ];
}

/// Connections that a fault disturbs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// From a daemon to the store.
    Store(usize),
    /// From all other daemons to this one.
    Node(usize),
    /// From all daemons to a server.
    Server(usize),
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed and started again.
    Kill(usize),
    /// All daemons are killed at the same moment.
    KillAll,
    /// A daemon receives SIGTERM, and is started again once it has exited.
    Stop(usize),
    /// A daemon is suspended with SIGSTOP for this long.
    Pause(usize, Duration),
    /// A daemon receives SIGHUP and reloads its settings.
    Reload(usize),
    /// A link is in this mode for this long.
    Link(Link, LinkMode, Duration),
    /// The first daemons, this many, are partitioned from all servers in this mode for this long.
    CutFromServers(usize, LinkMode, Duration),
    /// All open connections to the store and between daemons go silent for good, without a
    /// reset; new ones work.
    HangConnections,
    /// The store responds with errors.
    StoreUnavailable(Duration),
    /// The store does not respond; calls of that time get no response afterwards either.
    StoreSilent(Duration),
    /// The store applies writes and loses the responses.
    StoreLosesResponses(Duration),
    /// The store compacts its history, so that watches must list again.
    StoreCompacts,
    /// The store is unavailable for the second duration and comes back from a copy that is as old
    /// as the first: what the daemons wrote since is lost, and revisions are given out again.
    StoreRestores(Duration, Duration),
    /// A server turns all requests away for this long, and says until when.
    TurnAway(usize, Duration),
    /// Another writer leaves entries among the objects of each kind, until the end of the run.
    ForeignEntry(ForeignForm, ForeignName),
    /// Watches that are waiting, or begin within this time, hear of no change until their wait
    /// is over.
    StoreDeafensWatches(Duration),
    /// The servers from this slot on, this many, fall silent and go on where they were after this
    /// long, as suspended processes do.
    PauseServers(usize, usize, Duration),
    /// The servers from this slot on, this many, refuse one request in three and write some of
    /// these refusals, and of their answers to orders and reports, once more for this long.
    RepeatRefusals(usize, usize, Duration),
    /// A server crashes; another one replaces it.
    Crash(usize),
    /// A request comes again and again, at any daemon, and crashes every server that begins to
    /// run it.
    DeadlyRequest(RequestKind, Duration),
    /// The same with a stream that crashes servers after its first event.
    DeadlyStream(Duration),
    /// A server comes back under another id at once; connections to its address live on.
    Rename(usize),
    /// A server starts again at its address under the id that it had; connections live on.
    Restart(usize),
    /// Servers of each other's services start at the addresses of two servers.
    Swap(usize, usize),
    /// A route whose requests may run any number of times becomes one whose requests run once, or
    /// the reverse.
    ChangeKind(usize),
    /// A server announces that it is leaving, and stops.
    Leave(usize),
    /// A plain server announces in the store only that it is leaving, and serves on for a while.
    Drain(usize),
    /// A server names a limit in its responses for this long, in requests a minute.
    Limit(usize, u32, Duration),
    /// Orders to servers get no response and are executed later.
    DelayedOrders(Duration),
    /// The configuration changes.
    ChangeConfig,
    /// An API key is revoked, and another one issued.
    RevokeKey,
}

/// Fault and the time at which it is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultStep {
    /// Time since the start of fault injection.
    pub at: Duration,
    /// Fault to inject.
    pub fault: Fault,
}

/// Numbers of daemons and servers that faults may concern.
#[derive(Clone, Copy, Debug)]
pub struct PlanSize {
    /// Number of daemons.
    pub nodes: usize,
    /// Number of servers, plain ones included.
    pub servers: usize,
}

/// Kind of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum PlanKind {
    /// All kinds of faults.
    Generated,
    /// Plain servers refuse requests, write refusals again, and come back under other ids while
    /// requests are on their way to them.
    Restarts,
    /// The same while half of the daemons are partitioned from all servers and pass requests on.
    PassedOn,
}

/// Faults of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    /// Steps, in order of time.
    pub steps: Vec<FaultStep>,
}

impl FaultPlan {
    /// Plan of a kind for a duration; the same seed gives the same plan.
    pub fn of_kind(kind: PlanKind, seed: u64, duration: Duration, size: PlanSize) -> Self {
        match kind {
            PlanKind::Generated => Self::generate(seed, duration, size),
            PlanKind::Restarts => Self::restarts(seed, duration),
            PlanKind::PassedOn => {
                let mut plan = Self::restarts(seed, duration);
                let cut = Fault::CutFromServers(size.nodes / 2, LinkMode::Reset, duration);
                plan.steps.insert(
                    0,
                    FaultStep {
                        at: Duration::ZERO,
                        fault: cut,
                    },
                );
                plan
            }
        }
    }

    /// Restarts of the plain servers under other ids.
    fn restarts(seed: u64, duration: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let step = |at, fault| FaultStep { at, fault };
        let repeated = Fault::RepeatRefusals(0, PLAIN_SERVER_COUNT, duration);
        let mut steps = vec![step(Duration::ZERO, repeated)];
        for slot in 0..PLAIN_SERVER_COUNT {
            let delay = LinkMode::Delayed(RESTART_LINK_DELAY);
            steps.push(step(
                Duration::ZERO,
                Fault::Link(Link::Server(slot), delay, duration),
            ));
        }
        let mut at = Duration::ZERO;
        for slot in (0..PLAIN_SERVER_COUNT).cycle() {
            at += Duration::from_millis(rng.random_range(RESTART_INTERVAL_MS));
            if at >= duration {
                break;
            }
            steps.push(step(at, Fault::Rename(slot)));
        }
        Self { steps }
    }

    /// Generates a plan for a duration; the same seed gives the same plan.
    pub fn generate(seed: u64, duration: Duration, size: PlanSize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS));
            if at >= duration {
                break;
            }
            let fault = random_fault(&mut rng, size);
            steps.push(FaultStep { at, fault });
        }
        let hang_ms = duration.as_millis() as u64;
        if hang_ms > 0 {
            let step = FaultStep {
                at: Duration::from_millis(rng.random_range(0..hang_ms)),
                fault: Fault::HangConnections,
            };
            insert_step(&mut steps, step);
            // It ends with the other faults, as the only other plain server leaves after them.
            let at = Duration::from_millis(rng.random_range(0..hang_ms));
            let rate = rng.random_range(PLAIN_LIMIT_PER_MINUTE);
            let step = FaultStep {
                at,
                fault: Fault::Limit(0, rate, duration.saturating_sub(at)),
            };
            insert_step(&mut steps, step);
            let busy_ms = rng.random_range(FAULT_DURATION_MS);
            let step = FaultStep {
                at: Duration::from_millis(rng.random_range(0..hang_ms)),
                fault: Fault::TurnAway(1, Duration::from_millis(busy_ms)),
            };
            insert_step(&mut steps, step);
            let step = FaultStep {
                at: Duration::from_millis(rng.random_range(0..hang_ms)),
                fault: random_cut(&mut rng, size),
            };
            insert_step(&mut steps, step);
            let flood_ms = rng.random_range(FAULT_DURATION_MS);
            let form = EndlessForm::ALL[rng.random_range(0..EndlessForm::ALL.len())];
            let server = Link::Server(rng.random_range(0..size.servers));
            let duration = Duration::from_millis(flood_ms);
            let step = FaultStep {
                at: Duration::from_millis(rng.random_range(0..hang_ms)),
                fault: Fault::Link(server, LinkMode::Endless(form), duration),
            };
            insert_step(&mut steps, step);
            let step = FaultStep {
                at: Duration::from_millis(rng.random_range(0..hang_ms)),
                fault: Fault::DeadlyStream(DEADLY_STREAM_DURATION),
            };
            insert_step(&mut steps, step);
            if size.nodes >= HUB_NODES {
                // Connections go silent again while hubs may still be excluded.
                let step = FaultStep {
                    at: Duration::from_millis(rng.random_range(0..hang_ms)),
                    fault: Fault::HangConnections,
                };
                insert_step(&mut steps, step);
            }
            for step in silent_servers(&mut rng, size, hang_ms) {
                insert_step(&mut steps, step);
            }
            steps.extend(silent_store(&mut rng, Duration::from_millis(hang_ms)));
            // Drawn last, so that the other faults of a seed stay as they were.
            let step = repeated_refusals(&mut rng, size, hang_ms);
            let first_at = step.at;
            insert_step(&mut steps, step);
            for (slot, delay) in (0..PLAIN_SERVER_COUNT).zip(RENAME_DELAYS) {
                let (at, fault) = (first_at + delay, Fault::Rename(slot));
                if at < Duration::from_millis(hang_ms) {
                    insert_step(&mut steps, FaultStep { at, fault });
                }
            }
            for _ in 0..FOREIGN_ENTRIES {
                let at = Duration::from_millis(rng.random_range(0..hang_ms));
                let (form, name) = foreign::random_entry(&mut rng);
                let fault = Fault::ForeignEntry(form, name);
                insert_step(&mut steps, FaultStep { at, fault });
            }
        }
        Self { steps }
    }
}

fn insert_step(steps: &mut Vec<FaultStep>, step: FaultStep) {
    let position = steps.partition_point(|other| other.at <= step.at);
    steps.insert(position, step);
}

fn random_fault(rng: &mut StdRng, size: PlanSize) -> Fault {
    let node = rng.random_range(0..size.nodes);
    let server = rng.random_range(0..size.servers);
    let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    match rng.random_range(0..22) {
        0..=2 => Fault::Kill(node),
        3 => Fault::KillAll,
        4..=5 => Fault::Stop(node),
        6..=7 => Fault::Pause(node, duration),
        8 => Fault::Reload(node),
        9..=13 => Fault::Link(random_link(rng, node, server), random_mode(rng), duration),
        14 => Fault::StoreUnavailable(duration),
        15 => Fault::StoreLosesResponses(duration),
        16 => Fault::StoreCompacts,
        17 => Fault::Crash(server),
        18 => Fault::Leave(server),
        19 => Fault::DelayedOrders(duration),
        20 => Fault::ChangeConfig,
        _ => Fault::RevokeKey,
    }
}

/// Silent store after the other faults, and a change and a leaving server just after the daemons
/// are in touch again.
fn silent_store(rng: &mut StdRng, silence_at: Duration) -> [FaultStep; 3] {
    let silence = Duration::from_millis(rng.random_range(SILENCE_DURATION_MS));
    let change_at = silence_at + silence + CONTACT_DELAY;
    let drained = rng.random_range(0..PLAIN_SERVER_COUNT);
    let step = |at, fault| FaultStep { at, fault };
    [
        step(silence_at, Fault::StoreSilent(silence)),
        step(change_at, Fault::RevokeKey),
        step(change_at, Fault::Drain(drained)),
    ]
}

/// Refusals written again, by one server or all.
fn repeated_refusals(rng: &mut StdRng, size: PlanSize, duration_ms: u64) -> FaultStep {
    let at = Duration::from_millis(rng.random_range(0..duration_ms));
    let duration = Duration::from_millis(rng.random_range(REPEATED_REFUSALS_MS));
    let fault = if rng.random_bool(0.5) {
        Fault::RepeatRefusals(rng.random_range(0..PLAIN_SERVER_COUNT), 1, duration)
    } else {
        Fault::RepeatRefusals(0, size.servers, duration)
    };
    FaultStep { at, fault }
}

/// Silences of sound servers, of one, some or all, each with a change of the configuration.
fn silent_servers(rng: &mut StdRng, size: PlanSize, duration_ms: u64) -> Vec<FaultStep> {
    let mut at = Duration::from_millis(rng.random_range(0..duration_ms));
    let mut steps = Vec::new();
    for _ in 0..SERVER_SILENCES {
        let first = rng.random_range(0..size.servers);
        let count = rng.random_range(1..=size.servers);
        let silence = Duration::from_millis(rng.random_range(SERVER_SILENCE_MS));
        if at + silence < Duration::from_millis(duration_ms) {
            let fault = Fault::PauseServers(first, count, silence);
            steps.push(FaultStep { at, fault });
            let (at, fault) = (at + CHANGE_DELAY, Fault::ChangeConfig);
            steps.push(FaultStep { at, fault });
        }
        at += SERVER_SILENCE_INTERVAL;
    }
    steps
}

/// Cut of one daemon, of most or of all from the servers.
fn random_cut(rng: &mut StdRng, size: PlanSize) -> Fault {
    let modes = [LinkMode::Blackhole, LinkMode::Reset, LinkMode::RefuseNew];
    Fault::CutFromServers(
        rng.random_range(1..=size.nodes),
        modes[rng.random_range(0..modes.len())],
        Duration::from_millis(rng.random_range(CUT_DURATION_MS)),
    )
}

fn random_link(rng: &mut StdRng, node: usize, server: usize) -> Link {
    match rng.random_range(0..3) {
        0 => Link::Store(node),
        1 => Link::Node(node),
        // Half of the server links are those of the few plain servers, whose requests must not run twice.
        _ if rng.random_bool(0.5) => Link::Server(server % PLAIN_SERVER_COUNT),
        _ => Link::Server(server),
    }
}

fn random_mode(rng: &mut StdRng) -> LinkMode {
    match rng.random_range(0..4) {
        0 => LinkMode::Delayed(Duration::from_millis(rng.random_range(20..400))),
        1 => LinkMode::Blackhole,
        2 => LinkMode::OneWay,
        _ => LinkMode::Reset,
    }
}
