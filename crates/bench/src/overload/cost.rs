//! Processor time of one routing choice at the design size.

use std::time::Instant;

use base::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use routing::commands::{observe_cache, observe_load, set_node_count, set_targets};
use routing::queries::{RouteQuery, choose};
use routing::{
    BlockHash, CacheChange, CacheEvent, LoadSample, RouteSettings, RoutingState, TargetId,
    TargetSpec,
};

const CHOICES: u64 = 2_000;
const PROMPT_BLOCKS: u64 = 64;

/// Prints the processor time of a choice for several numbers of targets.
pub fn print_costs(seed: u64) {
    println!("\nProcessor time of one choice, prompts of {PROMPT_BLOCKS} blocks");
    println!("{:>8} {:>14} {:>10}", "targets", "known blocks", "µs");
    for targets in [12, 60, 294] {
        for blocks in [0, 1_024] {
            let micros = measure_choice(seed, targets, blocks);
            println!("{targets:>8} {blocks:>14} {micros:>10.1}");
        }
    }
}

fn measure_choice(seed: u64, targets: u64, blocks: u64) -> f64 {
    let state = filled_state(seed, targets, blocks);
    let prefix: Vec<BlockHash> = (0..PROMPT_BLOCKS).map(BlockHash).collect();
    let started_at = Instant::now();
    for call in 0..CHOICES {
        let query = RouteQuery {
            call: CallId(call),
            prefix: &prefix,
            excluded: &[],
        };
        std::hint::black_box(choose(&state, ClockTime(0), &query));
    }
    started_at.elapsed().as_secs_f64() * 1e6 / CHOICES as f64
}

fn filled_state(seed: u64, targets: u64, blocks: u64) -> RoutingState {
    let mut state = RoutingState::new(RouteSettings::default(), StdRng::seed_from_u64(seed));
    set_node_count(&mut state, 1_500);
    let names: Vec<TargetId> = (0..targets).map(target_id).collect();
    let specs = names.iter().map(|target| TargetSpec {
        target: target.clone(),
        incarnation: 1,
        slots: 1_085,
    });
    set_targets(&mut state, specs.collect(), ClockTime(0));
    for (number, target) in names.iter().enumerate() {
        let sample = LoadSample {
            running: 900 + number as u32 % 100,
            waiting: 0,
        };
        observe_load(&mut state, target, sample, ClockTime(0));
        let event = CacheEvent {
            sequence: 1,
            change: CacheChange::Stored((0..blocks).map(BlockHash).collect()),
        };
        observe_cache(&mut state, target, event);
    }
    state
}

fn target_id(number: u64) -> TargetId {
    let name = format!("group-{number}");
    TargetId::Group(GroupName::new(&name).expect("the name is valid"))
}
