//! Faults of one run, drawn from its seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Shortest and longest pause between two faults, in milliseconds; faults last
/// up to several times as long, so that they overlap.
const PAUSE_MILLIS: std::ops::Range<u64> = 200..1_500;
/// Shortest and longest fault, in milliseconds.
const SPAN_MILLIS: std::ops::Range<u64> = 300..4_000;

/// Servers that are no engines; they come first.
pub(crate) const PLAIN_SERVERS: usize = 2;

/// How a proxy treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Everything goes through.
    Open,
    /// Bytes come this much later.
    Delayed(Duration),
    /// Bytes are swallowed, and new connections hang.
    Silent,
    /// What goes towards the target is swallowed, the other way is open.
    OneWay,
    /// Connections are reset.
    Reset,
}

/// Connection that a fault concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Between a daemon and the store.
    Store(usize),
    /// From all other daemons to one.
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
    /// A daemon is asked to end, and started again once it has.
    Stop(usize),
    /// A daemon stands still.
    Pause(usize, Duration),
    /// A daemon is told to read its settings again.
    Reload(usize),
    /// A link is spoiled.
    Link(Link, LinkMode, Duration),
    /// The store answers with errors.
    StoreBusy(Duration),
    /// The store carries writes out and loses the answers.
    StoreLoses(Duration),
    /// The store forgets its history.
    StoreForgets,
    /// A server dies; another one comes in its place.
    Crash(usize),
    /// A server announces that it leaves, and does so.
    Leave(usize),
    /// Orders to servers get no answer and are carried out later.
    LateOrders(Duration),
    /// The configuration changes.
    Configure,
    /// A key is taken away, and another one given out.
    Revoke,
}

/// Fault and when it comes, counted from the start of the faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultStep {
    /// When.
    pub at: Duration,
    /// What.
    pub fault: Fault,
}

/// What there is to spoil.
#[derive(Clone, Copy, Debug)]
pub struct PlanSize {
    /// Daemons.
    pub nodes: usize,
    /// Servers.
    pub servers: usize,
}

/// Faults of one run in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    /// Steps.
    pub steps: Vec<FaultStep>,
}

impl FaultPlan {
    /// Draws a plan; the same seed gives the same plan.
    pub fn draw(seed: u64, span: Duration, size: PlanSize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_millis(rng.random_range(PAUSE_MILLIS));
            if at >= span {
                return Self { steps };
            }
            let fault = draw_fault(&mut rng, size);
            steps.push(FaultStep { at, fault });
        }
    }
}

fn draw_fault(rng: &mut StdRng, size: PlanSize) -> Fault {
    let node = rng.random_range(0..size.nodes);
    let server = rng.random_range(0..size.servers);
    let span = Duration::from_millis(rng.random_range(SPAN_MILLIS));
    match rng.random_range(0..22) {
        0..=2 => Fault::Kill(node),
        3 => Fault::KillAll,
        4..=5 => Fault::Stop(node),
        6..=7 => Fault::Pause(node, span),
        8 => Fault::Reload(node),
        9..=13 => Fault::Link(draw_link(rng, node, server), draw_mode(rng), span),
        14 => Fault::StoreBusy(span),
        15 => Fault::StoreLoses(span),
        16 => Fault::StoreForgets,
        17 => Fault::Crash(server),
        18 => Fault::Leave(server),
        19 => Fault::LateOrders(span),
        20 => Fault::Configure,
        _ => Fault::Revoke,
    }
}

fn draw_link(rng: &mut StdRng, node: usize, server: usize) -> Link {
    match rng.random_range(0..3) {
        0 => Link::Store(node),
        1 => Link::Node(node),
        // Half of them concern the few plain servers, whose requests may not run twice.
        _ if rng.random_bool(0.5) => Link::Server(server % PLAIN_SERVERS),
        _ => Link::Server(server),
    }
}

fn draw_mode(rng: &mut StdRng) -> LinkMode {
    match rng.random_range(0..4) {
        0 => LinkMode::Delayed(Duration::from_millis(rng.random_range(20..400))),
        1 => LinkMode::Silent,
        2 => LinkMode::OneWay,
        _ => LinkMode::Reset,
    }
}
