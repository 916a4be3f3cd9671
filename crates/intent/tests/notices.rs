//! Tests of versions that a process knows to exist and has not got.

use base::prelude::*;
use intent::ConfigNotices;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

#[test]
fn a_process_is_behind_since_the_oldest_version_that_it_lacks_became_known() {
    let mut notices = ConfigNotices::default();
    assert_eq!(notices.behind_since(), None);
    for (version, now) in [(4, 10), (5, 20), (7, 30), (6, 40), (7, 50)] {
        notices.record(version, 4, at(now));
    }
    assert_eq!(notices.behind_since(), Some(at(20)));
    assert_eq!(notices.newest(), Some(7));
    assert_eq!(notices.apply(4), None);
    assert_eq!(notices.apply(6), Some(at(20)));
    assert_eq!(notices.behind_since(), Some(at(30)));
    assert_eq!(notices.apply(8), Some(at(30)));
    assert_eq!((notices.behind_since(), notices.newest()), (None, None));
}

#[test]
fn versions_beyond_the_limit_do_not_move_the_oldest_one() {
    let mut notices = ConfigNotices::default();
    for version in 1..1_000 {
        notices.record(version, 0, at(version));
    }
    assert_eq!(notices.behind_since(), Some(at(1)));
    notices.apply(999);
    assert_eq!(notices.behind_since(), None);
}

#[test]
fn a_version_that_the_store_does_not_have_is_not_missed_any_more_whoever_names_it() {
    let mut notices = ConfigNotices::default();
    notices.record(5, 4, at(10));
    notices.record(6, 4, at(20));
    notices.disprove(at(20));
    assert_eq!(notices.behind_since(), Some(at(20)));
    notices.disprove(at(21));
    assert_eq!((notices.behind_since(), notices.newest()), (None, None));
    notices.record(6, 4, at(30));
    assert_eq!(notices.behind_since(), None);
    notices.record(7, 4, at(40));
    assert_eq!(notices.behind_since(), Some(at(40)));
}
