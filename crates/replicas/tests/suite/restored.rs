//! The store comes back from an older copy of the record of groups.

use crate::simulation::Simulation;
use base::prelude::*;
use replicas::GroupRecord;

const DOMAINS: &[(&str, usize)] = &[("d0", 10), ("d1", 10)];

fn stored(simulation: &Simulation) -> Arc<GroupRecord> {
    let (record, _) = simulation.record.clone().expect("the record is written");
    record
}

fn highest_epoch(record: &GroupRecord) -> GroupEpoch {
    let epochs = record.groups.iter().map(|group| group.epoch);
    epochs.max().unwrap_or_default()
}

/// Simulation in which a lost member was replaced since the copy was taken.
fn repaired_since_copy(seed: u64) -> (Simulation, Option<(Arc<GroupRecord>, ObjectVersion)>) {
    let mut simulation = Simulation::new(DOMAINS, seed);
    simulation.run(8_000);
    let copy = simulation.record.clone();
    let lost = simulation.any_member("large");
    simulation.kill(&lost);
    simulation.run(4_000);
    (simulation, copy)
}

#[test]
fn groups_formed_since_the_copy_go_on_and_are_recorded_again() {
    let (mut simulation, copy) = repaired_since_copy(1);
    let groups = stored(&simulation).groups.clone();
    simulation.restore(copy);
    simulation.run(2_000);
    assert_eq!(stored(&simulation).groups, groups);
    assert_eq!(simulation.violations, Vec::<String>::new());
}

#[test]
fn a_record_that_the_copy_lacks_is_written_again() {
    let (mut simulation, _) = repaired_since_copy(2);
    let groups = stored(&simulation).groups.clone();
    simulation.restore(None);
    simulation.run(2_000);
    assert_eq!(stored(&simulation).groups, groups);
    assert_eq!(simulation.violations, Vec::<String>::new());
}

#[test]
fn an_owner_that_knows_only_the_copy_gives_no_epoch_out_again() {
    let mut simulation = Simulation::new(DOMAINS, 3);
    simulation.run(8_000);
    let copy = simulation.record.clone();
    // Another owner reserves epochs and forms groups that the copy knows nothing of.
    simulation.owners.clear();
    simulation.add_owner("n2");
    for _ in 0..3 {
        let lost = simulation.any_member("small");
        simulation.kill(&lost);
        simulation.run(2_000);
    }
    let highest = highest_epoch(&stored(&simulation));
    simulation.owners.clear();
    simulation.restore(copy);
    simulation.add_owner("n3");
    let lost = simulation.any_member("small");
    simulation.kill(&lost);
    simulation.run(20_000);
    let record = stored(&simulation);
    let formed = record.groups.iter().filter(|group| group.epoch > highest);
    assert!(formed.count() > 0);
    assert!(record.next_epoch > highest);
    // Six of the domain's ten endpoints are left.
    assert_eq!(simulation.serving("small"), 3);
    assert_eq!(simulation.violations, Vec::<String>::new());
}

#[test]
fn a_node_that_knows_less_than_the_copy_takes_the_copy() {
    let (mut simulation, _) = repaired_since_copy(4);
    let present = simulation.record.clone();
    let groups = stored(&simulation).groups.clone();
    let mut behind = Simulation::new(DOMAINS, 4);
    behind.run(3_000);
    simulation.owners = behind.owners;
    simulation.restore(present);
    simulation.run(50);
    assert_eq!(stored(&simulation).groups, groups);
}

#[test]
fn a_record_that_the_copy_holds_unchanged_is_not_written_again() {
    let mut simulation = Simulation::new(DOMAINS, 5);
    simulation.run(12_000);
    let present = simulation.record.clone();
    let writes = simulation.writes;
    simulation.restore(present);
    simulation.run(2_000);
    assert_eq!(simulation.writes, writes);
}
