//! Groups are formed, repaired and moved.

mod world;

use std::time::Duration;

use world::{World, target};

#[test]
fn groups_form_and_serve() {
    let mut world = World::new(2, 9, target(4, 2, true));
    world.run_until("two groups serve at both nodes", |world| {
        world.serving(0).len() == 2 && world.serving(1).len() == 2
    });
    world.run(Duration::from_secs(30));
    let (record, _) = world.stored().unwrap();
    assert_eq!(record.groups.len(), 2);
    assert_eq!(record.token.0, 1, "one owner throughout");
    assert_eq!(record.standbys.len(), 1);
}
