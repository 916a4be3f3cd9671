//! Tests of the system clock.

use base::prelude::*;
use net::SystemClock;

#[test]
fn a_clock_that_has_just_started_can_tell_instants_of_the_last_minutes() {
    let now = SystemClock::default().now();
    let age = Duration::from_secs(600);
    assert_eq!(now.since(now.before(age)), age);
}
