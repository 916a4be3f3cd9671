//! Random interleavings of faults before three controllers.
//!
//! The promises are checked after every step, see `World`; at the end
//! everything is mended: every group becomes whole, and stopped controllers
//! leave no lease behind. The faults last more than an hour of the model's time.

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
/// Long enough for leases to lapse, orders to age and every load to end.
const MENDED: Duration = Duration::from_secs(120);
const STOPPED: Duration = Duration::from_secs(20);
const HOUR: Duration = Duration::from_secs(3_600);

#[derive(Clone, Copy, Debug)]
enum Step {
    Pass(u64),
    KillEngine(usize),
    WakeEngine(usize),
    RestartEngine(usize),
    ListHost(usize, bool),
    Pause(usize),
    Wake(usize),
    Restart(usize),
    Stop(usize),
    Cut(usize, bool),
    CutStore(usize, bool),
    Lag(u64),
    LagOrders(u64),
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
        8 => (100..9_000_u64).prop_map(Step::Pass),
        1 => host.clone().prop_map(Step::KillEngine),
        1 => host.clone().prop_map(Step::WakeEngine),
        3 => host.clone().prop_map(Step::RestartEngine),
        1 => (host, any::<bool>()).prop_map(|(host, leaving)| Step::ListHost(host, leaving)),
        1 => node.clone().prop_map(Step::Pause),
        2 => node.clone().prop_map(Step::Wake),
        1 => node.clone().prop_map(Step::Restart),
        1 => node.clone().prop_map(Step::Stop),
        1 => (node.clone(), prop::bool::weighted(0.4)).prop_map(|(node, cut)| Step::Cut(node, cut)),
        2 => (node, any::<bool>()).prop_map(|(node, cut)| Step::CutStore(node, cut)),
        1 => (0..1_000_u64).prop_map(Step::Lag),
        2 => (0..4_900_u64).prop_map(Step::LagOrders),
        1 => prop::bool::weighted(0.3).prop_map(Step::Outage),
        2 => fault.prop_map(Step::FailUpdate),
    ]
}

fn take(world: &mut World, step: Step) {
    match step {
        Step::Pass(millis) => world.pass(Duration::from_millis(millis)),
        Step::KillEngine(host) => world.kill_engine(host),
        Step::WakeEngine(host) => world.wake_engine(host),
        Step::RestartEngine(host) => world.restart_engine(host),
        Step::ListHost(host, true) => world.list_host(host, Presence::Leaving),
        Step::ListHost(host, false) => world.list_host(host, Presence::Live),
        Step::Pause(node) => world.pause(node),
        Step::Wake(node) => world.wake(node),
        Step::Restart(node) => world.restart(node),
        Step::Stop(node) => world.request_stop(node),
        Step::Cut(node, true) => drop(world.cut.insert(node)),
        Step::Cut(node, false) => drop(world.cut.remove(&node)),
        Step::CutStore(node, true) => drop(world.store_cut.insert(node)),
        Step::CutStore(node, false) => drop(world.store_cut.remove(&node)),
        Step::Lag(millis) => world.lag = Duration::from_millis(millis),
        Step::LagOrders(millis) => world.order_lag = Duration::from_millis(millis),
        Step::Outage(down) => world.store.set_down(down),
        Step::FailUpdate(fault) => world.fail_update(fault),
    }
}

#[test]
fn three_controllers_keep_their_promises_in_any_order_of_faults() {
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
            take(&mut world, step);
        }
        let (span, orders) = total.get();
        total.set((span + world.now.since(start), orders + world.taken_orders));
        world.mend();
        world.pass(MENDED);
        world.check_whole();
        for node in 0..NODES {
            world.request_stop(node);
        }
        world.pass(STOPPED);
        world.check_released();
        Ok(())
    });
    outcome.unwrap();
    let (span, orders) = total.get();
    println!("{span:?} of model time under faults, {orders} orders taken");
    assert!(span >= HOUR);
}
