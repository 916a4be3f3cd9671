//! Random sequences of faults, with three controllers.
//!
//! The guarantees are checked after every step, see `World`. At the end all faults
//! are repaired: every group must become complete, and controllers that shut down must
//! release their leases. The faults last more than an hour of simulated time.

mod world;

use std::cell::Cell;

use base::prelude::*;
use interface::Presence;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use store::UpdateFault;
use world::{HOSTS, NODES, World};

const SEED: u64 = 0x6374_726c;
const CASES: u32 = 30;
const STEPS: usize = 120;
/// Long enough for leases to expire, for the longest transit of an order to pass and for
/// every load to end.
const RECOVERY: Duration = Duration::from_secs(120);
/// Time for all controllers to release their leases and end.
const SHUTDOWN_DURATION: Duration = Duration::from_secs(20);
const HOUR: Duration = Duration::from_secs(3_600);

#[derive(Clone, Copy, Debug)]
enum Step {
    Advance(u64),
    PauseEngine(usize),
    ResumeEngine(usize),
    RestartEngine(usize),
    ListHost(usize, bool),
    Pause(usize),
    Resume(usize),
    Restart(usize),
    Shutdown(usize),
    IsolateFromEngines(usize, bool),
    IsolateFromStore(usize, bool),
    DelayResponses(u64),
    DelayOrders(u64),
    Outage(bool),
    FailUpdate(UpdateFault),
}

fn any_step() -> impl Strategy<Value = Step> {
    let (node, host) = (0..NODES, 0..HOSTS);
    let fault = prop_oneof![
        Just(UpdateFault::ReplyLost),
        Just(UpdateFault::RequestLost),
        Just(UpdateFault::Conflict),
        (1..3_000_u64).prop_map(|millis| UpdateFault::ArrivesLate(Duration::from_millis(millis))),
    ];
    prop_oneof![
        8 => (100..9_000_u64).prop_map(Step::Advance),
        1 => host.clone().prop_map(Step::PauseEngine),
        1 => host.clone().prop_map(Step::ResumeEngine),
        3 => host.clone().prop_map(Step::RestartEngine),
        1 => (host, any::<bool>()).prop_map(|(host, leaving)| Step::ListHost(host, leaving)),
        1 => node.clone().prop_map(Step::Pause),
        2 => node.clone().prop_map(Step::Resume),
        1 => node.clone().prop_map(Step::Restart),
        1 => node.clone().prop_map(Step::Shutdown),
        1 => (node.clone(), prop::bool::weighted(0.4))
            .prop_map(|(node, isolated)| Step::IsolateFromEngines(node, isolated)),
        2 => (node, any::<bool>())
            .prop_map(|(node, isolated)| Step::IsolateFromStore(node, isolated)),
        1 => (0..1_000_u64).prop_map(Step::DelayResponses),
        2 => (0..4_900_u64).prop_map(Step::DelayOrders),
        1 => prop::bool::weighted(0.3).prop_map(Step::Outage),
        2 => fault.prop_map(Step::FailUpdate),
    ]
}

fn apply_step(world: &mut World, step: Step) {
    match step {
        Step::Advance(millis) => world.advance(Duration::from_millis(millis)),
        Step::PauseEngine(host) => world.pause_engine(host),
        Step::ResumeEngine(host) => world.resume_engine(host),
        Step::RestartEngine(host) => world.restart_engine(host),
        Step::ListHost(host, true) => world.list_host(host, Presence::Leaving),
        Step::ListHost(host, false) => world.list_host(host, Presence::Live),
        Step::Pause(node) => world.pause(node),
        Step::Resume(node) => world.resume(node),
        Step::Restart(node) => world.restart(node),
        Step::Shutdown(node) => world.request_shutdown(node),
        Step::IsolateFromEngines(node, true) => drop(world.isolated_from_engines.insert(node)),
        Step::IsolateFromEngines(node, false) => drop(world.isolated_from_engines.remove(&node)),
        Step::IsolateFromStore(node, true) => drop(world.isolated_from_store.insert(node)),
        Step::IsolateFromStore(node, false) => drop(world.isolated_from_store.remove(&node)),
        Step::DelayResponses(millis) => world.response_delay = Duration::from_millis(millis),
        Step::DelayOrders(millis) => world.order_delay = Duration::from_millis(millis),
        Step::Outage(down) => world.store.set_down(down),
        Step::FailUpdate(fault) => world.fail_update(fault),
    }
}

#[test]
fn three_controllers_keep_their_guarantees_in_any_order_of_faults() {
    println!("seed {SEED:#x}, {CASES} cases of {STEPS} steps, {NODES} nodes");
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let total = Cell::new((Duration::ZERO, 0));
    let steps = prop::collection::vec(any_step(), STEPS);
    let outcome = TestRunner::new(config).run(&steps, |steps| {
        let mut world = World::new();
        let start = world.now;
        for step in steps {
            apply_step(&mut world, step);
        }
        let (duration, orders) = total.get();
        total.set((
            duration + world.now.since(start),
            orders + world.accepted_orders,
        ));
        world.repair_all();
        world.advance(RECOVERY);
        world.check_complete();
        for node in 0..NODES {
            world.request_shutdown(node);
        }
        world.advance(SHUTDOWN_DURATION);
        world.check_released();
        Ok(())
    });
    outcome.unwrap();
    let (duration, orders) = total.get();
    println!("{duration:?} of simulated time under faults, {orders} orders accepted");
    assert!(duration >= HOUR);
}
