//! Random interleavings of faults before one gateway, and before three.
//!
//! The promises are checked after every step, see `World`; at the end
//! everything is mended and every caller that stayed must have its end. The
//! faults of one test's cases last more than an hour of the model's time.

use base::prelude::*;
use interface::Presence;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use store::{ReadFault, UpdateFault};

use crate::world::World;

const SEED: u64 = 0x6761_7465;
const CASES: u32 = 80;
const STEPS: usize = 240;
/// Longer than any call's deadline, the run limit and the drain limit together.
const MENDED: Duration = Duration::from_secs(150);
const HOUR: Duration = Duration::from_secs(3_600);

#[derive(Clone, Copy, Debug)]
enum Step {
    Ask(usize, u8, u64),
    Leave(usize),
    Arrive(usize),
    Finish(usize, bool),
    Pass(u64),
    KillEngine(usize),
    WakeEngine(usize),
    RestartEngine(usize),
    LeaveEngine(usize),
    Repair,
    ListServer(usize, bool),
    LoseReports(bool),
    Lag(u64),
    Outage(bool),
    FailStore(UpdateFault, ReadFault),
    Pause(usize),
    Wake(usize),
    Crash(usize),
    Stop(usize),
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
        8 => (node.clone(), 0..8_u8, 50..20_000_u64).prop_map(|(n, k, w)| Step::Ask(n, k, w)),
        1 => at.clone().prop_map(Step::Leave),
        6 => at.clone().prop_map(Step::Arrive),
        6 => (at, any::<bool>()).prop_map(|(at, answered)| Step::Finish(at, answered)),
        8 => (50..3_000_u64).prop_map(Step::Pass),
        1 => engine.clone().prop_map(Step::KillEngine),
        1 => engine.clone().prop_map(Step::WakeEngine),
        1 => engine.clone().prop_map(Step::RestartEngine),
        1 => engine.clone().prop_map(Step::LeaveEngine),
        3 => Just(Step::Repair),
        1 => (engine, any::<bool>()).prop_map(|(at, leaving)| Step::ListServer(at, leaving)),
        1 => any::<bool>().prop_map(Step::LoseReports),
        1 => (0..1_500_u64).prop_map(Step::Lag),
        1 => any::<bool>().prop_map(Step::Outage),
        2 => (any_update_fault(), read).prop_map(|(update, read)| Step::FailStore(update, read)),
        1 => node.clone().prop_map(Step::Pause),
        2 => node.clone().prop_map(Step::Wake),
        1 => node.clone().prop_map(Step::Crash),
        1 => node.prop_map(Step::Stop),
    ]
}

fn take(world: &mut World, step: Step) {
    match step {
        Step::Ask(node, kind, wait) => world.request(node, kind, Duration::from_millis(wait)),
        Step::Leave(at) => world.leave_caller(at),
        Step::Arrive(at) => world.arrive(at),
        Step::Finish(at, answered) => world.finish(at, answered),
        Step::Pass(millis) => world.pass(Duration::from_millis(millis)),
        Step::KillEngine(index) => world.kill_engine(index),
        Step::WakeEngine(index) => world.wake_engine(index),
        Step::RestartEngine(index) => world.restart_engine(index),
        Step::LeaveEngine(index) => world.leave_engine(index),
        Step::Repair => world.repair_group(),
        Step::ListServer(index, leaving) => {
            let presence = if leaving {
                Presence::Leaving
            } else {
                Presence::Live
            };
            world.list_server(index, presence);
        }
        Step::LoseReports(lost) => world.reports_lost = lost,
        Step::Lag(millis) => world.lag = Duration::from_millis(millis),
        Step::Outage(down) => world.store.set_down(down),
        Step::FailStore(update, read) => world.fail_store(update, read),
        Step::Pause(node) => world.pause(node),
        Step::Wake(node) => world.wake(node),
        Step::Crash(node) => world.crash(node),
        Step::Stop(node) => world.request_stop(node),
    }
    for node in 0..world.nodes.len() {
        world.close_callers(node);
    }
}

/// Runs one case; gives the model's time under faults and the ends that were seen.
fn run_case(nodes: usize, steps: &[Step]) -> (Duration, usize) {
    let mut world = World::new(nodes);
    let start = world.now;
    for &step in steps {
        take(&mut world, step);
    }
    let span = world.now.since(start);
    world.mend();
    world.serve(MENDED);
    world.check_all_ended();
    (span, world.ends)
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
        let (span, ends) = run_case(nodes, &steps);
        let (spans, all) = total.get();
        total.set((spans + span, all + ends));
        Ok(())
    });
    outcome.unwrap();
    let (spans, ends) = total.get();
    println!("{spans:?} of model time under faults, {ends} calls ended");
    assert!(spans >= HOUR);
}

#[test]
fn one_gateway_keeps_its_promises_in_any_order_of_faults() {
    run_cases(1);
}

#[test]
fn three_gateways_keep_their_promises_in_any_order_of_faults() {
    run_cases(3);
}
