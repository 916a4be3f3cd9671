//! Load of a large deployment: many nodes that choose among the same heads by counts that
//! are some hundred milliseconds old.
//!
//! Each node sees few requests. If all of them prefer the head with the lowest count, that
//! head gets the requests of the whole deployment until the next counts arrive.

use std::collections::{BTreeMap, VecDeque};

use crate::support::{STREAM, at, head, relay, request};
use base::prelude::*;
use relay::commands::{arrive, finish, update_total_counts};
use relay::queries::local_counts;
use relay::{CallStep, LaneCounts, RelayState, SendTarget};

const NODES: usize = 60;
const HEADS: usize = 24;
const SLOTS: usize = 14;
/// Share of the slots that the requests need on average.
const UTILIZATION: f64 = 0.75;
const DURATION_MS: u64 = 20_000;
/// Interval between two counts of a node.
const COUNTS_INTERVAL_MS: u64 = 100;
/// Age of the sums when they arrive.
const COUNTS_DELAY_MS: u64 = 100;

/// Pseudo-random numbers with a fixed seed.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 33) % limit
    }
}

/// What the callers of a simulated deployment got.
#[derive(Debug, Default)]
struct Outcome {
    sent: usize,
    /// Requests that found every slot of their head taken.
    queued: usize,
    refused: usize,
    by_head: BTreeMap<HostName, usize>,
}

impl Outcome {
    fn busiest_to_mean(&self) -> f64 {
        let busiest = self.by_head.values().max().copied().unwrap_or_default();
        busiest as f64 * HEADS as f64 / self.sent as f64
    }

    fn queued_share(&self) -> f64 {
        self.queued as f64 / self.sent as f64
    }
}

fn heads() -> Vec<SendTarget> {
    let heads = (0..HEADS).map(|index| SendTarget {
        slots: SLOTS,
        domain: DomainName::new(&format!("zone-{}", index % 5)).unwrap(),
        ..head(&format!("h{index:02}"), 1)
    });
    heads.collect()
}

/// Runs all nodes on the same arrivals.
fn play(seed: u64, duration_ms: u64) -> Outcome {
    let mut random = Random(seed);
    let mut nodes: Vec<RelayState> = (0..NODES)
        .map(|index| {
            let mut state = relay(heads());
            state.set_counts_age(Some(Duration::from_millis(200)));
            state.seed_choice(seed.wrapping_add(index as u64));
            state
        })
        .collect();
    let mut running: BTreeMap<HostName, usize> = BTreeMap::new();
    let mut ends: BTreeMap<u64, Vec<(usize, CallId, HostName)>> = BTreeMap::new();
    let mut sums: VecDeque<(u64, Vec<(HostName, LaneCounts)>)> = VecDeque::new();
    let mut outcome = Outcome::default();
    // Each request takes a second on average.
    let per_ms = (HEADS * SLOTS) as f64 * UTILIZATION / 1_000.0;
    let mut due = 0.0;
    let mut call = 0;
    for now in 0..duration_ms {
        for (node, id, head) in ends.remove(&now).unwrap_or_default() {
            finish(&mut nodes[node], id);
            *running.get_mut(&head).unwrap() -= 1;
        }
        if now % COUNTS_INTERVAL_MS == 0 {
            let mut sum: BTreeMap<HostName, LaneCounts> = BTreeMap::new();
            for node in &nodes {
                for (head, counts) in local_counts(node, at(now)) {
                    let entry = sum.entry(head).or_default();
                    entry.fast += counts.fast;
                    entry.slow += counts.slow;
                }
            }
            sums.push_back((now + COUNTS_DELAY_MS, sum.into_iter().collect()));
        }
        if sums.front().is_some_and(|(at, _)| *at <= now) {
            let (_, sum) = sums.pop_front().unwrap();
            let hub = NodeName::new("hub").unwrap();
            for node in &mut nodes {
                update_total_counts(node, &hub, &sum, at(now));
            }
        }
        due += per_ms;
        while due >= 1.0 {
            due -= 1.0;
            call += 1;
            let node = random.below(NODES as u64) as usize;
            let mut arrival = request(call, STREAM, 2);
            arrival.deadline = at(now + 8_000);
            match arrive(&mut nodes[node], arrival, at(now)) {
                CallStep::Wait => unreachable!("a request that arrives has no attempts"),
                CallStep::Send(order) => {
                    outcome.sent += 1;
                    let count = running.entry(order.target.clone()).or_default();
                    outcome.queued += usize::from(*count >= SLOTS);
                    *count += 1;
                    *outcome.by_head.entry(order.target.clone()).or_default() += 1;
                    let end = now + 500 + random.below(1_000);
                    ends.entry(end)
                        .or_default()
                        .push((node, CallId(call), order.target));
                }
                CallStep::Refuse(_) => outcome.refused += 1,
            }
        }
    }
    outcome
}

#[test]
fn callers_find_a_free_slot_although_counts_are_old() {
    for seed in 1..=3 {
        let outcome = play(seed, DURATION_MS);
        assert_eq!(outcome.refused, 0, "seed {seed}");
        assert!(
            outcome.queued_share() < 0.1,
            "seed {seed}: {:.3} queued",
            outcome.queued_share()
        );
        assert!(outcome.busiest_to_mean() < 2.0, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn the_first_requests_of_nodes_that_start_together_are_spread() {
    let outcome = play(1, 1_000);
    assert!(outcome.busiest_to_mean() < 2.0, "{outcome:?}");
}
