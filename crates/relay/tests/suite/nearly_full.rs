//! Nearly as many requests as the engines can run, in a deployment of a few nodes.
//!
//! An engine runs its requests to their end, so a request that finds every slot taken waits for
//! one of them, however urgent it is. The simulation has nodes with counts up to 40 ms old and
//! engines that start waiting requests by rank.

use std::collections::BTreeMap;

use crate::support::{STREAM, at, head, request};
use base::prelude::*;
use limits::BudgetSettings;
use relay::commands::{arrive, finish, set_targets, update_remote_counts};
use relay::queries::local_counts;
use relay::{CallStep, RelaySettings, RelayState, SendTarget};

const NODES: usize = 6;
const HEADS: usize = 8;
const SLOTS: usize = 14;
/// Time that a request occupies a slot.
const SERVICE_MS: u64 = 1_000;
/// Longest wait for a slot with which the first event is in time.
const MAX_WAIT_MS: u64 = 50;
const DURATION_MS: u64 = 20_000;
/// Interval at which nodes send one another their counts.
const COUNTS_INTERVAL_MS: u64 = 40;

/// Request at an engine.
#[derive(Clone)]
struct EngineCall {
    node: usize,
    call: CallId,
    rank: u8,
    arrived_at: u64,
    is_first_attempt: bool,
}

/// Engine that runs requests in its slots and starts waiting ones by rank.
#[derive(Default)]
struct Engine {
    running: Vec<(u64, EngineCall)>,
    waiting: Vec<EngineCall>,
}

/// What the callers of a simulated deployment got.
#[derive(Debug, Default)]
struct Outcome {
    in_time: usize,
    late: usize,
    refused: usize,
}

/// Sends one request; returns the delay after which a refused client comes back.
fn send(
    nodes: &mut [RelayState],
    engines: &mut BTreeMap<HostName, Engine>,
    call: u64,
    now: u64,
    is_first_attempt: bool,
) -> Option<Duration> {
    let node = call as usize % NODES;
    let mut arrival = request(call, STREAM, 2);
    arrival.deadline = at(now + 8_000);
    match arrive(&mut nodes[node], arrival, at(now)) {
        CallStep::Wait => unreachable!("a request that arrives has no attempts"),
        CallStep::Send(order) => {
            let engine = engines.entry(order.target).or_default();
            engine.waiting.push(EngineCall {
                node,
                call: CallId(call),
                rank: order.rank,
                arrived_at: now,
                is_first_attempt,
            });
            None
        }
        CallStep::Refuse(refusal) => {
            finish(&mut nodes[node], CallId(call));
            refusal.retry_after
        }
    }
}

/// Plays a load, as a multiple of what the engines can run.
fn play(load: f64, counts_age: Option<Duration>) -> Outcome {
    let targets = (0..HEADS).map(|index| SendTarget {
        slots: SLOTS,
        ..head(&format!("h{index}"), 1)
    });
    let targets: Vec<_> = targets.collect();
    let nodes = (0..NODES).map(|seed| {
        let domain = DomainName::new("zone-a").unwrap();
        let mut state =
            RelayState::new(RelaySettings::default(), BudgetSettings::default(), domain);
        set_targets(&mut state, targets.clone());
        state.set_counts_age(counts_age);
        state.seed_choice(1_000 * seed as u64);
        state
    });
    let mut nodes: Vec<_> = nodes.collect();
    let mut engines: BTreeMap<HostName, Engine> = BTreeMap::new();
    let mut returns: BTreeMap<u64, usize> = BTreeMap::new();
    let mut outcome = Outcome::default();
    let per_ms = (HEADS * SLOTS) as f64 * load / SERVICE_MS as f64;
    let (mut due, mut call) = (0.0, 0);
    for now in 0..DURATION_MS {
        for engine in engines.values_mut() {
            engine.running.retain(|(end, done)| {
                if *end <= now {
                    finish(&mut nodes[done.node], done.call);
                }
                *end > now
            });
            engine
                .waiting
                .sort_by_key(|waiting| (waiting.rank, waiting.arrived_at));
            while engine.running.len() < SLOTS && !engine.waiting.is_empty() {
                let started = engine.waiting.remove(0);
                let waited = now - started.arrived_at;
                if started.is_first_attempt && waited <= MAX_WAIT_MS {
                    outcome.in_time += 1;
                } else {
                    outcome.late += 1;
                }
                engine.running.push((now + SERVICE_MS, started));
            }
        }
        if now % COUNTS_INTERVAL_MS == 0 {
            let counts: Vec<_> = nodes
                .iter()
                .map(|node| local_counts(node, at(now)))
                .collect();
            for (from, counts) in counts.iter().enumerate() {
                let name = NodeName::new(&format!("n{from}")).unwrap();
                let others = nodes.iter_mut().enumerate().filter(|(to, _)| *to != from);
                for (_, node) in others {
                    update_remote_counts(node, &name, counts, at(now));
                }
            }
        }
        for _ in 0..returns.remove(&now).unwrap_or_default() {
            call += 1;
            if send(&mut nodes, &mut engines, call, now, false).is_some() {
                outcome.refused += 1;
            }
        }
        due += per_ms;
        while due >= 1.0 {
            due -= 1.0;
            call += 1;
            if let Some(delay) = send(&mut nodes, &mut engines, call, now, true) {
                *returns.entry(now + delay.as_millis() as u64).or_default() += 1;
            }
        }
    }
    outcome
}

const COUNTS_AGE: Option<Duration> = Some(Duration::from_millis(COUNTS_INTERVAL_MS));

#[test]
fn nearly_full_engines_are_not_all_sent_the_same_requests() {
    let spread = play(0.95, COUNTS_AGE);
    let least_loaded = play(0.95, None);
    assert_eq!(spread.refused, 0, "{spread:?}");
    assert!(
        spread.late * 2 < least_loaded.late,
        "{spread:?}, {least_loaded:?}"
    );
}

#[test]
fn nobody_is_refused_or_late_with_slots_to_spare() {
    let outcome = play(0.7, COUNTS_AGE);
    assert_eq!((outcome.refused, outcome.late), (0, 0), "{outcome:?}");
}
