//! Random interleavings of the routing commands.

use std::collections::BTreeMap;

use base::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rand::SeedableRng;
use rand::rngs::StdRng;
use routing::commands::{begin, finish, mark_leaving, observe_cache, observe_load, set_targets};
use routing::queries::{RouteQuery, choose, count_local};
use routing::{
    BlockHash, CacheChange, CacheEvent, LoadSample, RouteSettings, RoutingState, TargetId,
    TargetSpec,
};

const SEED: u64 = 20_261_204;
const TARGETS: usize = 5;
const SLOTS: usize = 4;

#[derive(Clone, Debug)]
enum Step {
    Choose { block: u64, excluded: usize },
    Finish(u64),
    Leave(usize),
    List(Vec<(usize, u64)>),
    Load(usize, u32),
    Store(usize, u64, u64),
    Remove(usize, u64, u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let listed = prop::collection::vec((0..TARGETS, 1..3_u64), 0..=TARGETS);
    let step = prop_oneof![
        6 => (0..4_u64, 0..TARGETS).prop_map(|(block, excluded)| Step::Choose { block, excluded }),
        3 => (0..200_u64).prop_map(Step::Finish),
        1 => (0..TARGETS).prop_map(Step::Leave),
        1 => listed.prop_map(Step::List),
        2 => (0..TARGETS, 0..9_u32).prop_map(|(target, calls)| Step::Load(target, calls)),
        2 => (0..TARGETS, 0..30_u64, 0..4_u64).prop_map(|(target, sequence, block)| Step::Store(target, sequence, block)),
        1 => (0..TARGETS, 0..30_u64, 0..4_u64).prop_map(|(target, sequence, block)| Step::Remove(target, sequence, block)),
    ];
    prop::collection::vec(step, 1..200)
}

fn target(index: usize) -> TargetId {
    let name = format!("server-{index}");
    TargetId::Host(HostName::new(&name).expect("valid name"))
}

/// Blocks that are known to be cached according to the events.
#[derive(Default)]
struct KnownCache {
    last: Option<u64>,
    blocks: Vec<u64>,
}

/// Routing state with a reference model of its inputs.
struct Harness {
    state: RoutingState,
    now: ClockTime,
    incarnations: BTreeMap<usize, u64>,
    leaving: BTreeMap<usize, u64>,
    calls: BTreeMap<u64, usize>,
    caches: BTreeMap<usize, KnownCache>,
}

impl Harness {
    fn new() -> Self {
        let settings = RouteSettings::default();
        Self {
            state: RoutingState::new(settings, StdRng::seed_from_u64(SEED)),
            now: ClockTime(0),
            incarnations: BTreeMap::new(),
            leaving: BTreeMap::new(),
            calls: BTreeMap::new(),
            caches: BTreeMap::new(),
        }
    }

    fn run(&mut self, step: &Step, number: u64) {
        self.now = self.now + Duration::from_millis(10);
        match step {
            Step::Choose { block, excluded } => self.choose(number, *block, *excluded),
            Step::Finish(call) => {
                finish(&mut self.state, CallId(*call));
                self.calls.remove(call);
            }
            Step::Leave(index) => {
                mark_leaving(&mut self.state, &target(*index), self.now);
                if let Some(&incarnation) = self.incarnations.get(index) {
                    self.leaving.insert(*index, incarnation);
                }
            }
            Step::List(listed) => self.list(listed),
            Step::Load(index, calls) => {
                let sample = LoadSample {
                    running: *calls,
                    waiting: 0,
                };
                observe_load(&mut self.state, &target(*index), sample, self.now);
            }
            Step::Store(index, sequence, block) => {
                let change = CacheChange::Stored(vec![BlockHash(*block)]);
                self.event(*index, *sequence, change, |blocks| blocks.push(*block));
            }
            Step::Remove(index, sequence, block) => {
                let change = CacheChange::Removed(vec![BlockHash(*block)]);
                self.event(*index, *sequence, change, |blocks| {
                    blocks.retain(|other| other != block);
                });
            }
        }
    }

    fn choose(&mut self, number: u64, block: u64, excluded: usize) {
        let query = RouteQuery {
            call: CallId(number),
            prefix: &[BlockHash(block)],
            excluded: &[target(excluded)],
        };
        let choice = choose(&self.state, self.now, &query);
        let open = |index: &usize| {
            *index != excluded
                && self.leaving.get(index) != self.incarnations.get(index)
                && self.calls.values().filter(|at| *at == index).count() < SLOTS
        };
        let open: Vec<usize> = self.incarnations.keys().copied().filter(open).collect();
        let Some(choice) = choice else {
            assert!(open.is_empty(), "{open:?} could take the call");
            return;
        };
        let chosen = open.iter().find(|&&index| target(index) == choice.target);
        let chosen = *chosen.expect("the chosen target cannot take the call");
        let cache = self.caches.get(&chosen);
        let is_cached = cache.is_some_and(|cache| cache.blocks.contains(&block));
        assert_eq!(choice.cached_blocks, usize::from(is_cached));
        begin(&mut self.state, CallId(number), &choice.target);
        self.calls.insert(number, chosen);
        let local_calls = self.calls.values().filter(|at| **at == chosen).count();
        assert_eq!(count_local(&self.state, &choice.target), local_calls);
    }

    fn list(&mut self, listed: &[(usize, u64)]) {
        let listed: BTreeMap<usize, u64> = listed.iter().copied().collect();
        let specs = listed.iter().map(|(&index, &incarnation)| TargetSpec {
            target: target(index),
            incarnation,
            slots: SLOTS,
        });
        set_targets(&mut self.state, specs.collect(), self.now);
        let same = |index: &usize| listed.get(index) == self.incarnations.get(index);
        self.caches.retain(|index, _| same(index));
        self.leaving
            .retain(|index, incarnation| listed.get(index).is_none_or(|now| now == incarnation));
        self.incarnations = listed;
    }

    fn event(
        &mut self,
        index: usize,
        sequence: u64,
        change: CacheChange,
        apply: impl FnOnce(&mut Vec<u64>),
    ) {
        let event = CacheEvent { sequence, change };
        observe_cache(&mut self.state, &target(index), event);
        if !self.incarnations.contains_key(&index) {
            return;
        }
        let cache = self.caches.entry(index).or_default();
        if cache.last.is_some_and(|last| sequence <= last) {
            return;
        }
        if cache.last.is_some_and(|last| sequence > last + 1) {
            cache.blocks.clear();
        }
        cache.last = Some(sequence);
        apply(&mut cache.blocks);
    }
}

#[test]
fn unavailable_targets_get_no_calls_and_gaps_reset_the_cache() {
    println!("seed {SEED}");
    let mut runner = TestRunner::new(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    });
    let result = runner.run(&steps(), |steps| {
        let mut harness = Harness::new();
        for (number, step) in steps.iter().enumerate() {
            harness.run(step, number as u64);
        }
        Ok(())
    });
    result.expect("an interleaving violated an invariant");
}
