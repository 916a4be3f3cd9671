//! Failures of every kind at every update of the stored object.

mod world;

use std::time::Duration;

use store::UpdateFault;
use world::{World, desired};

const UPDATES: usize = 8;

#[test]
fn a_group_forms_and_is_repaired_whichever_update_fails() {
    let faults = [
        UpdateFault::ReplyLost,
        UpdateFault::RequestLost,
        UpdateFault::Conflict,
    ];
    for fault in faults {
        for repeats in [1, 3] {
            for index in 0..UPDATES {
                check_faults(fault, index, repeats);
            }
        }
    }
}

fn check_faults(fault: UpdateFault, index: usize, repeats: usize) {
    let mut world = World::new(2, 5, desired(4, 1, false));
    let is_faulty = |i: usize| i >= index && i < index + repeats;
    world
        .store
        .inject_update_faults((0..index + repeats).map(|i| is_faulty(i).then_some(fault)));
    world.run_until("the group forms", |world| world.serving(1).len() == 1);
    world.engine(0).up = false;
    world.run(Duration::from_secs(40));
    assert_eq!(
        world.serving(0).len(),
        1,
        "{fault:?} at update {index}, {repeats} times"
    );
    assert_eq!(world.members().len(), 1);
}

#[test]
fn a_store_outage_at_any_step_only_delays_formation() {
    for index in 0..30 {
        let mut world = World::new(2, 5, desired(4, 1, true));
        world.run(world::STEP * index);
        world.store.set_down(true);
        world.run(Duration::from_secs(40));
        world.store.set_down(false);
        world.run_until("the group serves", |world| world.serving(0).len() == 1);
    }
}
