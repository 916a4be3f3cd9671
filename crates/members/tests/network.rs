//! Simulated networks of many nodes: changes, faults and recovery.

use std::collections::BTreeSet;

use base::prelude::*;
use members::fake::{FakeNetwork, NetworkLatency};
use members::{
    Item, ItemKey, NodePhase, PeerFrame, PeerMessage, PeerSettings, PeerState, ReadinessProof,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SEED: u64 = 23;
const SCHEDULE_SEED: [u8; 32] = [23; 32];
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(120);

fn key(index: usize) -> ItemKey {
    ItemKey::Section(SectionName::new(&format!("section-{index}")).unwrap())
}

fn body(text: &str) -> Option<Arc<str>> {
    Some(Arc::from(text))
}

fn all_ready(network: &FakeNetwork) -> bool {
    network.states().all(|state| state.readiness().is_some())
}

fn holds_all_items(network: &FakeNetwork) -> bool {
    let mut items = network.store.items();
    items.all(|item| network.is_in_force(&item.key, item.version))
}

fn all_alive(network: &FakeNetwork) -> bool {
    let count = network.states().count();
    network.states().all(|state| {
        let alive = state
            .live_nodes()
            .filter(|record| record.phase == NodePhase::Alive);
        alive.count() == count
    })
}

fn regressions(network: &FakeNetwork) -> u64 {
    (0..network.len())
        .map(|index| network.meter(index).regressions)
        .sum()
}

fn busy_wakeups(network: &FakeNetwork) -> u64 {
    (0..network.len())
        .map(|index| network.meter(index).busy_wakeups)
        .sum()
}

/// Network of ready nodes in two regions with three failure domains each.
fn started(count: usize, seed: u64) -> FakeNetwork {
    started_in(2, count, seed)
}

fn started_in(region_count: usize, count: usize, seed: u64) -> FakeNetwork {
    println!("seed {seed}");
    let mut network = FakeNetwork::new(PeerSettings::default(), NetworkLatency::default(), seed);
    network.add_nodes(count, region_count);
    for index in 0..8 {
        network.store.write(key(index), body("first"));
    }
    for index in 0..count {
        network.start(index);
    }
    assert!(
        network.run_until(RECOVERY_TIMEOUT, |network| all_ready(network)
            && all_alive(network))
    );
    network.run_for(Duration::from_secs(5));
    network
}

fn watchers(network: &FakeNetwork) -> Vec<usize> {
    let watches = |index: &usize| network.state(*index).is_some_and(PeerState::watches_store);
    (0..network.len()).filter(watches).collect()
}

fn name(index: usize) -> NodeName {
    NodeName::new(&format!("node-{index:04}")).unwrap()
}

#[test]
fn a_change_is_in_force_everywhere_in_time() {
    let mut network = started(60, SEED);
    for loss in [0.0, 0.01, 0.05] {
        network.faults.loss = loss;
        for round in 0..10 {
            let version = network.write(key(round % 8), body(&format!("{loss} {round}")));
            let is_in_force = network.run_until(CHANGE_TIMEOUT, |network| {
                network.is_in_force(&key(round % 8), version)
            });
            assert!(is_in_force, "loss {loss}, round {round}");
        }
    }
    assert_eq!(regressions(&network), 0);
}

#[test]
fn three_nodes_of_each_failure_domain_watch_the_store() {
    let network = started(60, SEED);
    assert_eq!(watchers(&network).len(), 18);
}

#[test]
fn other_nodes_replace_stopped_watchers() {
    let mut network = started(60, SEED);
    let former = watchers(&network);
    for &index in &former {
        network.stop(index);
    }
    let has_successors = |network: &FakeNetwork| watchers(network).len() == 18;
    assert!(network.run_until(Duration::from_secs(20), has_successors));
    network.run_for(Duration::from_secs(2));
    let version = network.write(key(1), body("second"));
    let in_force = |network: &FakeNetwork| network.is_in_force(&key(1), version);
    assert!(network.run_until(CHANGE_TIMEOUT, in_force));
}

#[test]
fn an_isolated_node_catches_up() {
    let mut network = started(30, SEED);
    network.faults.isolated_nodes.insert(name(4));
    let version = network.write(key(1), body("second"));
    network.run_for(Duration::from_secs(60));
    assert!(network.state(4).unwrap().version(&key(1)) < Some(version));
    network.faults.isolated_nodes.clear();
    let in_force = |network: &FakeNetwork| network.is_in_force(&key(1), version);
    assert!(network.run_until(Duration::from_secs(30), in_force));
    assert!(network.run_until(RECOVERY_TIMEOUT, all_alive));
}

#[test]
fn a_node_restarted_during_an_outage_gets_versions_from_peers() {
    let mut network = started(30, SEED);
    let version = network.write(key(1), body("second"));
    network.run_for(Duration::from_secs(5));
    network.faults.is_store_down = true;
    network.start(4);
    let is_ready = |network: &FakeNetwork| network.state(4).unwrap().readiness().is_some();
    assert!(network.run_until(RECOVERY_TIMEOUT, is_ready));
    let state = network.state(4).unwrap();
    assert_eq!(state.readiness(), Some(ReadinessProof::Peers));
    assert_eq!(state.version(&key(1)), Some(version));
}

#[test]
fn nodes_that_all_start_during_an_outage_do_not_become_ready() {
    let mut network = started(12, SEED);
    network.faults.is_store_down = true;
    for index in 0..12 {
        network.stop(index);
    }
    for index in 0..12 {
        network.start(index);
    }
    network.run_for(Duration::from_secs(120));
    assert!(network.states().all(|state| state.readiness().is_none()));
    network.faults.is_store_down = false;
    assert!(network.run_until(RECOVERY_TIMEOUT, all_ready));
}

#[test]
fn a_partition_of_regions_declares_no_node_dead_and_ends_without_a_load_peak() {
    let mut network = started(60, SEED);
    network.faults.are_regions_partitioned = true;
    network
        .faults
        .regions_without_store
        .insert(RegionName::new("region-1").unwrap());
    network.run_for(Duration::from_secs(60));
    network.write(key(1), body("second"));
    network.run_for(Duration::from_secs(120));
    assert!(all_alive(&network));
    network.faults.are_regions_partitioned = false;
    network.faults.regions_without_store.clear();
    let healed_at = network.now;
    assert!(network.run_until(CHANGE_TIMEOUT, holds_all_items));
    network.run_for(Duration::from_secs(30));
    assert!(network.store.busiest_second(healed_at) <= 36);
}

#[test]
fn a_region_without_the_store_gets_changes_from_the_other() {
    let mut network = started(60, SEED);
    let region = RegionName::new("region-1").unwrap();
    network.faults.regions_without_store.insert(region);
    let version = network.write(key(1), body("second"));
    let in_force = |network: &FakeNetwork| network.is_in_force(&key(1), version);
    assert!(network.run_until(CHANGE_TIMEOUT, in_force));
}

#[test]
fn where_all_nodes_watch_no_peer_can_raise_a_version() {
    let mut network = started(12, SEED);
    let invented = Item {
        key: key(1),
        version: ObjectVersion(1 << 60),
        body: body("invented"),
    };
    for index in 0..network.len() {
        let state = network.state(index).unwrap();
        let peers: Vec<_> = state.linked_peers().cloned().collect();
        for from in peers {
            let announcement = PeerMessage::Announce(vec![invented.entry()]);
            let delivery = PeerMessage::Items(vec![invented.clone()]);
            for message in [announcement, delivery] {
                let frame = PeerFrame {
                    cluster: network.cluster(),
                    incarnation: incarnation_of(&network, &from),
                    from: from.clone(),
                    message,
                };
                network.inject(index, frame);
            }
        }
    }
    network.run_for(Duration::from_secs(70));
    let is_refused = |state: &PeerState| state.version(&key(1)) < Some(invented.version);
    assert!(network.states().all(is_refused));
    let version = network.write(key(1), body("second"));
    let in_force = |network: &FakeNetwork| network.is_in_force(&key(1), version);
    assert!(network.run_until(CHANGE_TIMEOUT, in_force));
}

#[test]
fn an_isolated_failure_domain_recovers() {
    let mut network = started(60, SEED);
    network
        .faults
        .isolated_domains
        .insert(DomainName::new("domain-0").unwrap());
    let version = network.write(key(1), body("second"));
    let in_force = |network: &FakeNetwork| network.is_in_force(&key(1), version);
    assert!(network.run_until(CHANGE_TIMEOUT, in_force));
    network.run_for(Duration::from_secs(600));
    network.faults.isolated_domains.clear();
    assert!(
        network.run_until(RECOVERY_TIMEOUT, |network| holds_all_items(network)
            && all_alive(network))
    );
}

#[test]
fn a_partitioned_failure_domain_rejoins() {
    let mut network = started_in(1, 30, SEED);
    network
        .faults
        .partitioned_domains
        .insert(DomainName::new("domain-0").unwrap());
    network.run_for(Duration::from_secs(300));
    assert!(!all_alive(&network));
    network.faults.partitioned_domains.clear();
    assert!(network.run_until(RECOVERY_TIMEOUT, all_alive));
}

#[test]
fn a_replayed_frame_changes_nothing() {
    let mut network = started(30, SEED);
    let former = network.store.item(&key(1)).unwrap().clone();
    network.write(key(1), body("second"));
    network.run_for(Duration::from_secs(3));
    for index in 0..network.len() {
        let state = network.state(index).unwrap();
        let from = state.linked_peers().next().unwrap().clone();
        for message in [
            PeerMessage::Announce(vec![former.entry()]),
            PeerMessage::Items(vec![former.clone()]),
        ] {
            let incarnation = incarnation_of(&network, &from);
            let cluster = network.cluster();
            let frame = PeerFrame {
                cluster,
                from: from.clone(),
                incarnation,
                message,
            };
            network.inject(index, frame);
        }
    }
    network.run_for(Duration::from_secs(3));
    assert!(holds_all_items(&network));
    assert_eq!(regressions(&network), 0);
}

fn incarnation_of(network: &FakeNetwork, node: &NodeName) -> members::NodeIncarnation {
    let mut states = network.states();
    states
        .find(|state| state.local_node().node == *node)
        .unwrap()
        .local_node()
        .incarnation
}

#[derive(Clone, Debug)]
enum Step {
    Write(usize),
    IsolateNode(usize),
    Restart(usize),
    IsolateDomain(usize),
    EndIsolation,
    PartitionRegions,
    JoinRegions,
    StoreDown,
    StoreUp,
    LoseFrames(u8),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..8_usize).prop_map(Step::Write),
        2 => (0..20_usize).prop_map(Step::IsolateNode),
        3 => (0..20_usize).prop_map(Step::Restart),
        1 => (0..6_usize).prop_map(Step::IsolateDomain),
        2 => Just(Step::EndIsolation),
        1 => Just(Step::PartitionRegions),
        1 => Just(Step::JoinRegions),
        1 => Just(Step::StoreDown),
        2 => Just(Step::StoreUp),
        1 => (0..30_u8).prop_map(Step::LoseFrames),
        5 => (10..15_000_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 5..40)
}

fn apply(network: &mut FakeNetwork, step: &Step, number: usize) {
    match step {
        Step::Write(index) if !network.faults.is_store_down => {
            network.write(key(*index), body(&format!("change {number}")));
        }
        Step::Write(_) => {}
        Step::IsolateNode(index) => {
            network.faults.isolated_nodes.insert(name(*index));
        }
        Step::Restart(index) => network.start(*index),
        Step::IsolateDomain(index) => {
            let domain = DomainName::new(&format!("domain-{index}")).unwrap();
            network.faults.isolated_domains.insert(domain);
        }
        Step::EndIsolation => {
            network.faults.isolated_domains.clear();
            network.faults.isolated_nodes.clear();
        }
        Step::PartitionRegions => network.faults.are_regions_partitioned = true,
        Step::JoinRegions => network.faults.are_regions_partitioned = false,
        Step::StoreDown => network.faults.is_store_down = true,
        Step::StoreUp => network.faults.is_store_down = false,
        Step::LoseFrames(percent) => network.faults.loss = f64::from(*percent) / 100.0,
        Step::Wait(millis) => network.run_for(Duration::from_millis(*millis)),
    }
}

#[test]
fn versions_never_decrease_and_all_nodes_converge_after_random_faults() {
    println!("seed {SCHEDULE_SEED:?}");
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &SCHEDULE_SEED);
    let config = Config {
        failure_persistence: None,
        ..Config::with_cases(24)
    };
    let mut runner = TestRunner::new_with_rng(config, random);
    let outcome = runner.run(&(steps(), any::<u64>()), |(steps, seed)| {
        let mut network = started(20, seed);
        for (number, step) in steps.iter().enumerate() {
            apply(&mut network, step, number);
        }
        network.faults.loss = 0.0;
        network.faults.are_regions_partitioned = false;
        network.faults.is_store_down = false;
        network.faults.isolated_domains = BTreeSet::new();
        network.faults.isolated_nodes = BTreeSet::new();
        let is_converged = network.run_until(RECOVERY_TIMEOUT, |network| {
            all_ready(network) && holds_all_items(network) && all_alive(network)
        });
        prop_assert_eq!(regressions(&network), 0, "a version in force decreased");
        prop_assert_eq!(busy_wakeups(&network), 0, "a deadline stayed in the past");
        prop_assert!(is_converged, "not all nodes converged");
        Ok(())
    });
    outcome.unwrap();
}
