//! Random interleavings of faults, with the invariants checked after every step.
//!
//! The seeds are fixed and printed. After the faults have been removed, every
//! group must serve again.

mod world;

use std::time::Duration;

use groups::HostStatus;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use store::UpdateFault;
use world::{World, desired, entry, host};

const HOSTS: usize = 10;
const GROUPS: usize = 2;
const CASES: u32 = 20;
const SEEDS: [u8; 4] = [1, 2, 3, 4];

#[derive(Clone, Debug)]
enum Fault {
    StopEngine(usize),
    StartEngine(usize),
    RestartEngine(usize),
    SlowEngine(usize),
    LoadEngine(usize, u32),
    MarkHostLeaving(usize),
    ListHost(usize),
    DelistHost(usize),
    PauseNode(usize),
    PauseBeforeEffects(usize),
    ResumeNode(usize),
    RestartNode(usize),
    DisconnectStore(usize, bool),
    DisconnectEngines(usize, bool),
    DelayReports(usize, u64),
    DelayOrders(u64),
    StoreDown(bool),
    FailUpdates(UpdateFault, usize),
    Wait(u32),
}

fn any_fault(nodes: usize) -> impl Strategy<Value = Fault> {
    let update = prop_oneof![
        Just(UpdateFault::ReplyLost),
        Just(UpdateFault::RequestLost),
        Just(UpdateFault::Conflict),
    ];
    prop_oneof![
        (0..HOSTS).prop_map(Fault::StopEngine),
        (0..HOSTS).prop_map(Fault::StartEngine),
        (0..HOSTS).prop_map(Fault::RestartEngine),
        (0..HOSTS).prop_map(Fault::SlowEngine),
        (0..HOSTS, 0..2u32).prop_map(|(host, calls)| Fault::LoadEngine(host, calls)),
        (0..HOSTS).prop_map(Fault::MarkHostLeaving),
        (0..HOSTS).prop_map(Fault::ListHost),
        (0..HOSTS).prop_map(Fault::DelistHost),
        (0..nodes).prop_map(Fault::PauseNode),
        (0..nodes).prop_map(Fault::PauseBeforeEffects),
        (0..nodes).prop_map(Fault::ResumeNode),
        (0..nodes).prop_map(Fault::RestartNode),
        (0..nodes, any::<bool>()).prop_map(|(node, cut)| Fault::DisconnectStore(node, cut)),
        (0..nodes, any::<bool>()).prop_map(|(node, cut)| Fault::DisconnectEngines(node, cut)),
        (0..nodes, 0..4_000u64)
            .prop_map(|(node, report_delay)| Fault::DelayReports(node, report_delay)),
        (0..5_000u64).prop_map(Fault::DelayOrders),
        any::<bool>().prop_map(Fault::StoreDown),
        (update, 1..4usize).prop_map(|(fault, count)| Fault::FailUpdates(fault, count)),
        (1..60u32).prop_map(Fault::Wait),
    ]
}

fn inject(world: &mut World, fault: &Fault, process: u64) {
    match *fault {
        Fault::StopEngine(index) => world.engine(index).up = false,
        Fault::StartEngine(index) => world.engine(index).up = true,
        Fault::RestartEngine(index) => world.engine(index).restart(),
        Fault::SlowEngine(index) => world.engine(index).load.step_micros = 90_000,
        Fault::LoadEngine(index, calls) => world.engine(index).load.running = calls,
        Fault::MarkHostLeaving(index) => {
            let entry = world.entries.get_mut(&host(index));
            if let Some(entry) = entry {
                entry.status = HostStatus::Leaving;
            }
        }
        Fault::ListHost(index) => {
            world.entries.insert(host(index), entry(index));
        }
        Fault::DelistHost(index) => {
            world.entries.remove(&host(index));
        }
        Fault::PauseNode(index) => world.nodes[index].paused = true,
        Fault::PauseBeforeEffects(index) => world.nodes[index].pauses_before_effects = true,
        Fault::ResumeNode(index) => world.resume(index),
        Fault::RestartNode(index) => world.restart_node(index, process),
        Fault::DisconnectStore(index, cut) => world.nodes[index].store_cut = cut,
        Fault::DisconnectEngines(index, cut) => world.nodes[index].engines_cut = cut,
        Fault::DelayReports(index, report_delay) => {
            world.nodes[index].report_delay = Duration::from_millis(report_delay);
        }
        Fault::DelayOrders(delay) => world.order_delay = Duration::from_millis(delay),
        Fault::StoreDown(down) => world.store.set_down(down),
        Fault::FailUpdates(fault, count) => {
            world.store.inject_update_faults(vec![Some(fault); count]);
        }
        Fault::Wait(steps) => world.run(world::STEP * steps),
    }
}

fn heal(world: &mut World) {
    world.store.set_down(false);
    world.order_delay = Duration::from_millis(10);
    for index in 0..world.nodes.len() {
        world.resume(index);
        let node = &mut world.nodes[index];
        node.pauses_before_effects = false;
        node.store_cut = false;
        node.engines_cut = false;
        node.report_delay = Duration::ZERO;
    }
    for index in 0..HOSTS {
        world.entries.insert(host(index), entry(index));
        let engine = world.engine(index);
        engine.up = true;
        engine.load.running = 0;
        engine.load.step_micros = 20_000;
    }
}

fn check_faults(nodes: usize, checks_fencing: bool, faults: &[Fault]) {
    let mut world = World::new(nodes, HOSTS, desired(4, GROUPS, checks_fencing));
    world.run(Duration::from_secs(30));
    for (index, fault) in faults.iter().enumerate() {
        inject(&mut world, fault, 100 + index as u64);
        world.run(world::STEP * 2);
    }
    heal(&mut world);
    world.run(Duration::from_secs(120));
    for index in 0..nodes {
        assert_eq!(
            world.serving(index).len(),
            GROUPS,
            "groups serving after all faults were removed"
        );
    }
}

fn run_seed(nodes: usize, checks_fencing: bool, seed: u8) {
    println!("nodes: {nodes}, engines check the fencing token: {checks_fencing}, seed: {seed}");
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let faults = prop::collection::vec(any_fault(nodes), 1..60);
    let result = runner.run(&faults, |faults| {
        check_faults(nodes, checks_fencing, &faults);
        Ok(())
    });
    if let Err(error) = result {
        panic!("seed {seed}: {error}");
    }
}

#[test]
fn groups_recover_with_two_nodes_and_engines_that_check_the_token() {
    for seed in SEEDS {
        run_seed(2, true, seed);
    }
}

#[test]
fn groups_recover_with_two_nodes_and_engines_that_ignore_the_token() {
    for seed in SEEDS {
        run_seed(2, false, seed);
    }
}

#[test]
fn groups_recover_with_three_nodes_and_engines_that_check_the_token() {
    for seed in SEEDS {
        run_seed(3, true, seed);
    }
}

#[test]
fn groups_recover_with_three_nodes_and_engines_that_ignore_the_token() {
    for seed in SEEDS {
        run_seed(3, false, seed);
    }
}
