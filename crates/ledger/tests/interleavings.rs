//! Random interleavings of three nodes, one store and one endpoint.
//!
//! The promises are checked after every step, see `World::check`; at the end
//! every device asks again and must hear the same.

mod common;

use base::prelude::*;
use common::*;
use ledger::*;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use store::{ReadFault, UpdateFault};

const SEED: u64 = 0x6c65_6467;
const CASES: u32 = 1_000;
const STEPS: usize = 60;
const NODES: usize = 3;
const PATIENT: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
enum Step {
    Ask { node: usize, key: usize, wait: u64 },
    Arrive { at: usize, fault: Fault },
    Reply { at: usize },
    Send { at: usize },
    Withdraw { at: usize },
    Finish { at: usize, answered: bool },
    Pass { millis: u64 },
    Crash { node: usize },
    Pause { node: usize, paused: bool },
    Outage { down: bool },
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Reply,
    Request,
    Late(u64),
    Stale,
    Failed,
}

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        8 => Just(Fault::None),
        1 => Just(Fault::Reply),
        1 => Just(Fault::Request),
        1 => (1..2_000_u64).prop_map(Fault::Late),
        1 => Just(Fault::Stale),
        1 => Just(Fault::Failed),
    ]
}

fn steps() -> impl Strategy<Value = Step> {
    let at = 0..8_usize;
    let node = 0..NODES;
    prop_oneof![
        4 => (node.clone(), 0..2_usize, 1..3_000_u64)
            .prop_map(|(node, key, wait)| Step::Ask { node, key, wait }),
        10 => (at.clone(), faults()).prop_map(|(at, fault)| Step::Arrive { at, fault }),
        8 => at.clone().prop_map(|at| Step::Reply { at }),
        4 => at.clone().prop_map(|at| Step::Send { at }),
        1 => at.clone().prop_map(|at| Step::Withdraw { at }),
        3 => (at, any::<bool>()).prop_map(|(at, answered)| Step::Finish { at, answered }),
        8 => (1..400_u64).prop_map(|millis| Step::Pass { millis }),
        1 => node.clone().prop_map(|node| Step::Crash { node }),
        1 => (node, any::<bool>()).prop_map(|(node, paused)| Step::Pause { node, paused }),
        1 => any::<bool>().prop_map(|down| Step::Outage { down }),
    ]
}

fn pick(at: usize, count: usize) -> Option<usize> {
    at.checked_rem(count)
}

fn take(world: &mut World, step: Step) {
    match step {
        Step::Ask { node, key, wait } => {
            if !world.nodes[node].paused {
                let name = format!("order-{key}");
                world.ask(node, &name, "a", Duration::from_millis(wait));
            }
        }
        Step::Arrive { at, fault } => {
            if let Some(at) = pick(at, world.requests.len()) {
                let (update, read) = store_faults(fault);
                world.arrive_at(at, update, read);
            }
        }
        Step::Reply { at } => {
            if let Some(at) = pick(at, world.replies.len())
                && !world.is_replying_to_paused(at)
            {
                world.reply_at(at);
            }
        }
        Step::Send { at } => {
            if let Some(at) = pick(at, world.sends.len()) {
                world.send_at(at);
            }
        }
        Step::Withdraw { at } => {
            if let Some(at) = pick(at, world.sends.len()) {
                world.withdraw_at(at);
            }
        }
        Step::Finish { at, answered } => {
            if let Some(at) = pick(at, world.running.len()) {
                world.finish_at(at, answered);
            }
        }
        Step::Pass { millis } => world.pass(Duration::from_millis(millis)),
        Step::Crash { node } => world.crash(node),
        Step::Pause { node, paused } => world.nodes[node].paused = paused,
        Step::Outage { down } => world.store.set_down(down),
    }
}

fn store_faults(fault: Fault) -> (Option<UpdateFault>, Option<ReadFault>) {
    match fault {
        Fault::None => (None, None),
        Fault::Reply => (Some(UpdateFault::ReplyLost), None),
        Fault::Request => (Some(UpdateFault::RequestLost), Some(ReadFault::Unavailable)),
        Fault::Late(millis) => {
            let late = Duration::from_millis(millis);
            (Some(UpdateFault::ArrivesLate(late)), None)
        }
        Fault::Stale => (Some(UpdateFault::Conflict), Some(ReadFault::Stale)),
        Fault::Failed => (Some(UpdateFault::Unavailable), Some(ReadFault::Unavailable)),
    }
}

/// Every device asks again once all faults are over.
fn final_answers(world: &mut World, name: &str) -> Vec<Option<CallVerdict>> {
    let attempts = [0, 1, 2].map(|node| world.ask(node, name, "a", PATIENT));
    for _ in 0..20 {
        world.settle(Duration::from_millis(300));
        world.serve();
        if attempts
            .iter()
            .all(|&attempt| is_final(world.last_verdict(attempt)))
        {
            break;
        }
    }
    let told = attempts.iter().map(|&attempt| world.last_verdict(attempt));
    told.map(|verdict| verdict.cloned()).collect()
}

fn is_final(verdict: Option<&CallVerdict>) -> bool {
    verdict.is_some_and(|verdict| *verdict != CallVerdict::Send)
}

fn heal(world: &mut World) {
    world.store.set_down(false);
    for node in &mut world.nodes {
        node.paused = false;
    }
    world.serve();
    world.settle(Duration::from_secs(3));
    world.serve();
    world.settle(Duration::from_secs(3));
}

#[test]
fn promises_hold_in_every_order() {
    println!("seed {SEED}, {CASES} cases");
    let config = ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let orders = proptest::collection::vec(steps(), 1..STEPS);
    let mut runner = TestRunner::new(config);
    let outcome = runner.run(&orders, |order| {
        let mut world = World::new(NODES);
        for step in order {
            take(&mut world, step);
        }
        heal(&mut world);
        for name in ["order-0", "order-1"] {
            let answers = final_answers(&mut world, name);
            prop_assert!(
                answers.iter().all(|answer| *answer == answers[0]),
                "{answers:?}"
            );
            let settled = [
                Some(CallVerdict::OutcomeUnknown),
                world
                    .runs
                    .iter()
                    .position(|run| run.key == key(name))
                    .map(|run| CallVerdict::Response(answer(run))),
            ];
            prop_assert!(settled.contains(&answers[0]), "{answers:?}");
        }
        for node in &world.nodes {
            prop_assert_eq!(node.state.known_calls(), 0, "calls are left behind");
        }
        Ok(())
    });
    if let Err(fault) = outcome {
        panic!("seed {SEED}: {fault}");
    }
}
