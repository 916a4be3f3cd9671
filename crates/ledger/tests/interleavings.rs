//! Random interleavings of three nodes, one store and one endpoint.
//!
//! The invariants are checked after every step, see `Simulation::check_invariants`;
//! at the end, a client on every node repeats the call, and all must get the same verdict.

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
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
enum Step {
    Begin { node: usize, key: usize, wait: u64 },
    DeliverRequest { at: usize, fault: Fault },
    DeliverReply { at: usize },
    Send { at: usize },
    Withdraw { at: usize },
    Finish { at: usize, answered: bool },
    Advance { millis: u64 },
    Crash { node: usize },
    Pause { node: usize, paused: bool },
    Outage { down: bool },
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    ReplyLost,
    RequestLost,
    Late(u64),
    Stale,
    Failed,
}

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        8 => Just(Fault::None),
        1 => Just(Fault::ReplyLost),
        1 => Just(Fault::RequestLost),
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
            .prop_map(|(node, key, wait)| Step::Begin { node, key, wait }),
        10 => (at.clone(), faults()).prop_map(|(at, fault)| Step::DeliverRequest { at, fault }),
        8 => at.clone().prop_map(|at| Step::DeliverReply { at }),
        4 => at.clone().prop_map(|at| Step::Send { at }),
        1 => at.clone().prop_map(|at| Step::Withdraw { at }),
        3 => (at, any::<bool>()).prop_map(|(at, answered)| Step::Finish { at, answered }),
        8 => (1..400_u64).prop_map(|millis| Step::Advance { millis }),
        1 => node.clone().prop_map(|node| Step::Crash { node }),
        1 => (node, any::<bool>()).prop_map(|(node, paused)| Step::Pause { node, paused }),
        1 => any::<bool>().prop_map(|down| Step::Outage { down }),
    ]
}

fn pick(at: usize, count: usize) -> Option<usize> {
    at.checked_rem(count)
}

fn perform(simulation: &mut Simulation, step: Step) {
    match step {
        Step::Begin { node, key, wait } => {
            if !simulation.nodes[node].paused {
                let name = format!("order-{key}");
                simulation.begin_call(node, &name, "a", Duration::from_millis(wait));
            }
        }
        Step::DeliverRequest { at, fault } => {
            if let Some(at) = pick(at, simulation.requests.len()) {
                let (update, read) = store_faults(fault);
                simulation.deliver_request_at(at, update, read);
            }
        }
        Step::DeliverReply { at } => {
            if let Some(at) = pick(at, simulation.replies.len())
                && !simulation.is_reply_to_paused(at)
            {
                simulation.deliver_reply_at(at);
            }
        }
        Step::Send { at } => {
            if let Some(at) = pick(at, simulation.sends.len()) {
                simulation.send_at(at);
            }
        }
        Step::Withdraw { at } => {
            if let Some(at) = pick(at, simulation.sends.len()) {
                simulation.withdraw_at(at);
            }
        }
        Step::Finish { at, answered } => {
            if let Some(at) = pick(at, simulation.running.len()) {
                simulation.finish_at(at, answered);
            }
        }
        Step::Advance { millis } => simulation.advance(Duration::from_millis(millis)),
        Step::Crash { node } => simulation.crash(node),
        Step::Pause { node, paused } => simulation.nodes[node].paused = paused,
        Step::Outage { down } => simulation.store.set_down(down),
    }
}

fn store_faults(fault: Fault) -> (Option<UpdateFault>, Option<ReadFault>) {
    match fault {
        Fault::None => (None, None),
        Fault::ReplyLost => (Some(UpdateFault::ReplyLost), None),
        Fault::RequestLost => (Some(UpdateFault::RequestLost), Some(ReadFault::Unavailable)),
        Fault::Late(millis) => {
            let late = Duration::from_millis(millis);
            (Some(UpdateFault::ArrivesLate(late)), None)
        }
        Fault::Stale => (Some(UpdateFault::Conflict), Some(ReadFault::Stale)),
        Fault::Failed => (Some(UpdateFault::Unavailable), Some(ReadFault::Unavailable)),
    }
}

/// Verdicts of a client on every node that repeats the call once all faults are over.
fn final_verdicts(simulation: &mut Simulation, name: &str) -> Vec<Option<CallVerdict>> {
    let attempts = [0, 1, 2].map(|node| simulation.begin_call(node, name, "a", CALL_TIMEOUT));
    for _ in 0..20 {
        simulation.run_for(Duration::from_millis(300));
        simulation.complete_all();
        if attempts
            .iter()
            .all(|&attempt| is_final(simulation.last_verdict(attempt)))
        {
            break;
        }
    }
    let verdicts = attempts
        .iter()
        .map(|&attempt| simulation.last_verdict(attempt));
    verdicts.map(|verdict| verdict.cloned()).collect()
}

fn is_final(verdict: Option<&CallVerdict>) -> bool {
    verdict.is_some_and(|verdict| *verdict != CallVerdict::Send)
}

fn recover(simulation: &mut Simulation) {
    simulation.store.set_down(false);
    for node in &mut simulation.nodes {
        node.paused = false;
    }
    simulation.complete_all();
    simulation.run_for(Duration::from_secs(3));
    simulation.complete_all();
    simulation.run_for(Duration::from_secs(3));
}

#[test]
fn invariants_hold_in_every_order() {
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
        let mut simulation = Simulation::new(NODES);
        for step in order {
            perform(&mut simulation, step);
        }
        recover(&mut simulation);
        for name in ["order-0", "order-1"] {
            let verdicts = final_verdicts(&mut simulation, name);
            prop_assert!(
                verdicts.iter().all(|response| *response == verdicts[0]),
                "{verdicts:?}"
            );
            let settled = [
                Some(CallVerdict::OutcomeUnknown),
                simulation
                    .runs
                    .iter()
                    .position(|run| run.key == key(name))
                    .map(|run| CallVerdict::Response(response(run))),
            ];
            prop_assert!(settled.contains(&verdicts[0]), "{verdicts:?}");
        }
        for node in &simulation.nodes {
            prop_assert_eq!(node.state.call_count(), 0, "calls are left over");
        }
        Ok(())
    });
    if let Err(fault) = outcome {
        panic!("seed {SEED}: {fault}");
    }
}
