//! Random sequences of faults, with one gateway and with three.
//!
//! The guarantees are checked after every step, see `World`. At the end all faults
//! are repaired, and every call whose caller stayed connected must end. The faults of
//! one test's cases last more than an hour of simulated time.

use base::prelude::*;
use interface::Presence;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use store::{ReadFault, UpdateFault};

use crate::world::World;

const SEED: u64 = 0x6761_7465;
const CASES: u32 = 80;
const STEPS: usize = 240;
/// Longer than any call's deadline, the run timeout and the drain limit together.
const RECOVERY: Duration = Duration::from_secs(150);
const HOUR: Duration = Duration::from_secs(3_600);

#[derive(Clone, Copy, Debug)]
enum Step {
    StartCall(usize, u8, u64),
    DisconnectCaller(usize),
    DeliverAttempt(usize),
    EndAttempt(usize, bool),
    SilenceAttempt(usize),
    ContinueAttempt(usize),
    Advance(u64),
    PauseEngine(usize),
    ResumeEngine(usize),
    RestartEngine(usize),
    MarkEngineLeaving(usize),
    RepairGroup,
    ListServer(usize, bool),
    LoseReports(bool),
    DelayResponses(u64),
    Outage(bool),
    FailStore(UpdateFault, ReadFault),
    Pause(usize),
    Resume(usize),
    Crash(usize),
    Shutdown(usize),
}

fn any_update_fault() -> impl Strategy<Value = UpdateFault> {
    prop_oneof![
        Just(UpdateFault::ReplyLost),
        Just(UpdateFault::RequestLost),
        Just(UpdateFault::Conflict),
        (1..3_000_u64).prop_map(|millis| UpdateFault::ArrivesLate(Duration::from_millis(millis))),
    ]
}

fn any_step(nodes: usize) -> impl Strategy<Value = Step> {
    let node = 0..nodes;
    let engine = 0..2_usize;
    let at = 0..6_usize;
    let read = prop_oneof![Just(ReadFault::Unavailable), Just(ReadFault::Stale)];
    prop_oneof![
        8 => (node.clone(), 0..8_u8, 50..20_000_u64)
            .prop_map(|(node, kind, timeout)| Step::StartCall(node, kind, timeout)),
        1 => at.clone().prop_map(Step::DisconnectCaller),
        6 => at.clone().prop_map(Step::DeliverAttempt),
        2 => at.clone().prop_map(Step::SilenceAttempt),
        2 => at.clone().prop_map(Step::ContinueAttempt),
        6 => (at, any::<bool>()).prop_map(|(at, answered)| Step::EndAttempt(at, answered)),
        8 => (50..3_000_u64).prop_map(Step::Advance),
        1 => engine.clone().prop_map(Step::PauseEngine),
        1 => engine.clone().prop_map(Step::ResumeEngine),
        1 => engine.clone().prop_map(Step::RestartEngine),
        1 => engine.clone().prop_map(Step::MarkEngineLeaving),
        3 => Just(Step::RepairGroup),
        1 => (engine, any::<bool>()).prop_map(|(at, leaving)| Step::ListServer(at, leaving)),
        1 => any::<bool>().prop_map(Step::LoseReports),
        1 => (0..1_500_u64).prop_map(Step::DelayResponses),
        1 => any::<bool>().prop_map(Step::Outage),
        2 => (any_update_fault(), read).prop_map(|(update, read)| Step::FailStore(update, read)),
        1 => node.clone().prop_map(Step::Pause),
        2 => node.clone().prop_map(Step::Resume),
        1 => node.clone().prop_map(Step::Crash),
        1 => node.prop_map(Step::Shutdown),
    ]
}

fn apply_step(world: &mut World, step: Step) {
    match step {
        Step::StartCall(node, kind, timeout) => {
            world.start_call(node, kind, Duration::from_millis(timeout))
        }
        Step::DisconnectCaller(at) => world.disconnect_caller(at),
        Step::DeliverAttempt(at) => world.deliver_attempt(at),
        Step::EndAttempt(at, answered) => world.end_attempt(at, answered),
        Step::SilenceAttempt(at) => world.silence_attempt(at),
        Step::ContinueAttempt(at) => world.continue_attempt(at),
        Step::Advance(millis) => world.advance(Duration::from_millis(millis)),
        Step::PauseEngine(index) => world.pause_engine(index),
        Step::ResumeEngine(index) => world.resume_engine(index),
        Step::RestartEngine(index) => world.restart_engine(index),
        Step::MarkEngineLeaving(index) => world.mark_engine_leaving(index),
        Step::RepairGroup => world.repair_group(),
        Step::ListServer(index, leaving) => {
            let presence = if leaving {
                Presence::Leaving
            } else {
                Presence::Live
            };
            world.list_server(index, presence);
        }
        Step::LoseReports(lost) => world.reports_lost = lost,
        Step::DelayResponses(millis) => world.response_delay = Duration::from_millis(millis),
        Step::Outage(down) => world.store.set_down(down),
        Step::FailStore(update, read) => world.fail_store(update, read),
        Step::Pause(node) => world.pause(node),
        Step::Resume(node) => world.resume(node),
        Step::Crash(node) => world.crash(node),
        Step::Shutdown(node) => world.request_shutdown(node),
    }
    for node in 0..world.nodes.len() {
        world.close_connections(node);
    }
}

/// Runs one case; returns the simulated time under faults and the number of calls
/// that ended.
fn run_case(nodes: usize, steps: &[Step]) -> (Duration, usize) {
    let mut world = World::new(nodes);
    let start = world.now;
    for &step in steps {
        apply_step(&mut world, step);
    }
    let duration = world.now.since(start);
    world.repair_all();
    world.serve_all(RECOVERY);
    world.check_all_ended();
    (duration, world.ended_calls)
}

fn run_cases(nodes: usize) {
    println!("seed {SEED:#x}, {CASES} cases of {STEPS} steps, {nodes} nodes");
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let total = std::cell::Cell::new((Duration::ZERO, 0));
    let steps = prop::collection::vec(any_step(nodes), STEPS);
    let outcome = TestRunner::new(config).run(&steps, |steps| {
        let (duration, ended_calls) = run_case(nodes, &steps);
        let (durations, all) = total.get();
        total.set((durations + duration, all + ended_calls));
        Ok(())
    });
    outcome.unwrap();
    let (durations, ended_calls) = total.get();
    println!("{durations:?} of simulated time under faults, {ended_calls} calls ended");
    assert!(durations >= HOUR);
}

#[test]
fn one_gateway_keeps_its_guarantees_in_any_order_of_faults() {
    run_cases(1);
}

#[test]
fn three_gateways_keep_their_guarantees_in_any_order_of_faults() {
    run_cases(3);
}
