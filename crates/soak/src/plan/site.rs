//! Fault plan of a run in a site's shape.
//!
//! Plain servers are in trouble for most of the run. Restarts come while requests
//! wait for a suspended server, so that they meet another one at its address.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{Fault, FaultPlan, FaultStep, Link, LinkMode, insert_step};

/// Range of the interval between two faults.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 150..700;
/// Range of the time for which servers are in trouble.
const TROUBLE_MS: std::ops::Range<u64> = 2_000..6_000;
/// Range of the time for which a server is suspended.
const SUSPENSION_MS: std::ops::Range<u64> = 300..2_600;
/// Range of the time for which a daemon is suspended.
const PAUSE_MS: std::ops::Range<u64> = 1_000..4_000;
/// Range of the time for which daemons are partitioned from all servers.
const CUT_MS: std::ops::Range<u64> = 2_000..5_000;
/// Range of the time for which a link or the store is disturbed.
const DISTURBANCE_MS: std::ops::Range<u64> = 300..2_000;
/// Time between two servers of a release.
const RELEASE_INTERVAL: Duration = Duration::from_secs(1);
/// Time from a server's end until its address is used again.
const ADDRESS_REUSE: Duration = Duration::from_secs(2);
/// Range of the time until the services have their addresses back.
const SWAP_MS: std::ops::Range<u64> = 3_000..6_000;
/// Part of the run after which an idempotent route becomes one whose requests run once.
const KIND_CHANGE_PART: f64 = 0.15;
/// One plan in this many also makes the other route idempotent.
const BOTH_KINDS_ONE_IN: u32 = 4;

/// What a site's plan can disturb.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SitePlanSize {
    /// Number of daemons.
    pub nodes: usize,
    /// Number of plain servers, which have the first slots.
    pub plain: usize,
    /// Number of all servers.
    pub servers: usize,
    /// Indices of the idempotent routes, and of those whose requests run once.
    pub idempotent: Vec<usize>,
    /// Indices of the routes whose requests run once.
    pub once_only: Vec<usize>,
}

impl FaultPlan {
    /// Generates the plan of a site's run; the same arguments give the same plan.
    pub fn for_site(seed: u64, duration: Duration, size: &SitePlanSize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        let everything = Fault::RepeatRefusals(0, size.servers, millis(&mut rng, TROUBLE_MS));
        steps.push(FaultStep {
            at,
            fault: everything,
        });
        loop {
            at += millis(&mut rng, FAULT_INTERVAL_MS);
            if at >= duration {
                break;
            }
            for step in random_steps(&mut rng, at, size) {
                if step.at < duration {
                    insert_step(&mut steps, step);
                }
            }
        }
        for step in kind_changes(&mut rng, duration, size) {
            insert_step(&mut steps, step);
        }
        Self { steps }
    }
}

fn millis(rng: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// One fault, or several that belong together.
fn random_steps(rng: &mut StdRng, at: Duration, size: &SitePlanSize) -> Vec<FaultStep> {
    let node = rng.random_range(0..size.nodes);
    let plain = rng.random_range(0..size.plain.max(1));
    let step = |at, fault| FaultStep { at, fault };
    match rng.random_range(0..24) {
        0..=2 => {
            let trouble = millis(rng, TROUBLE_MS);
            vec![step(at, Fault::RepeatRefusals(0, size.plain, trouble))]
        }
        3 => {
            let trouble = millis(rng, TROUBLE_MS);
            vec![step(at, Fault::RepeatRefusals(0, size.servers, trouble))]
        }
        4..=7 => {
            let suspension = millis(rng, SUSPENSION_MS);
            let renamed_at = at + suspension.mul_f64(rng.random_range(0.1..1.0));
            vec![
                step(at, Fault::PauseServers(plain, 1, suspension)),
                step(renamed_at, Fault::Rename(plain)),
            ]
        }
        8 => vec![step(at, Fault::Rename(plain))],
        9 => {
            let suspension = millis(rng, SUSPENSION_MS);
            vec![
                step(at, Fault::PauseServers(plain, 1, suspension)),
                step(at + suspension / 2, Fault::Restart(plain)),
            ]
        }
        10 => vec![step(at, Fault::Crash(plain))],
        11 => release(at, size),
        12 => vec![step(at, Fault::Drain(plain))],
        13 => swap(rng, at, plain, size),
        14 => vec![step(at, Fault::Kill(node))],
        15..=16 => vec![step(at, Fault::Stop(node))],
        17..=18 => vec![step(at, Fault::Pause(node, millis(rng, PAUSE_MS)))],
        19..=20 => {
            let modes = [LinkMode::Blackhole, LinkMode::Reset, LinkMode::RefuseNew];
            let mode = modes[rng.random_range(0..modes.len())];
            let count = rng.random_range(1..=size.nodes.div_ceil(2));
            vec![step(
                at,
                Fault::CutFromServers(count, mode, millis(rng, CUT_MS)),
            )]
        }
        21 => {
            let delay = LinkMode::Delayed(millis(rng, 20..400));
            let modes = [
                LinkMode::Blackhole,
                LinkMode::Reset,
                LinkMode::OneWay,
                delay,
            ];
            let mode = modes[rng.random_range(0..modes.len())];
            let link = Link::Server(plain);
            vec![step(
                at,
                Fault::Link(link, mode, millis(rng, DISTURBANCE_MS)),
            )]
        }
        22 => vec![step(
            at,
            Fault::StoreUnavailable(millis(rng, DISTURBANCE_MS)),
        )],
        _ => vec![step(at, Fault::ChangeConfig), step(at, Fault::Reload(node))],
    }
}

/// All plain servers leave, one after the other, and others take their places.
fn release(at: Duration, size: &SitePlanSize) -> Vec<FaultStep> {
    let steps = (0..size.plain).map(|slot| FaultStep {
        at: at + RELEASE_INTERVAL * slot as u32,
        fault: Fault::Leave(slot),
    });
    steps.collect()
}

/// A plain server and an engine end, and servers of each other's services get their addresses.
fn swap(rng: &mut StdRng, at: Duration, plain: usize, size: &SitePlanSize) -> Vec<FaultStep> {
    if size.servers == size.plain {
        return Vec::new();
    }
    let engine = rng.random_range(size.plain..size.servers);
    let modes = [LinkMode::Reset, LinkMode::Delayed(ADDRESS_REUSE)];
    let mode = modes[rng.random_range(0..modes.len())];
    let back_at = at + ADDRESS_REUSE + millis(rng, SWAP_MS);
    let swap = Fault::Swap(plain, engine);
    let ends = [plain, engine].map(|slot| Fault::Link(Link::Server(slot), mode, ADDRESS_REUSE));
    let [plain_end, engine_end] = ends;
    let steps = [
        (at, plain_end),
        (at, engine_end),
        (at + ADDRESS_REUSE, swap),
        (back_at, plain_end),
        (back_at, engine_end),
        (back_at + ADDRESS_REUSE, swap),
    ];
    steps.map(|(at, fault)| FaultStep { at, fault }).to_vec()
}

fn kind_changes(rng: &mut StdRng, duration: Duration, size: &SitePlanSize) -> Vec<FaultStep> {
    let mut steps = Vec::new();
    if let Some(route) = size.idempotent.first() {
        steps.push(FaultStep {
            at: duration.mul_f64(KIND_CHANGE_PART),
            fault: Fault::ChangeKind(*route),
        });
    }
    if let Some(route) = size.once_only.first()
        && rng.random_range(0..BOTH_KINDS_ONE_IN) == 0
    {
        steps.push(FaultStep {
            at: duration / 2,
            fault: Fault::ChangeKind(*route),
        });
    }
    steps
}
