//! Faults of the in-memory store.

use base::prelude::*;
use futures_util::FutureExt;
use store::*;

fn change(expected: u64, value: &str) -> ObjectChange {
    ObjectChange {
        key: key(),
        expected: ObjectVersion(expected),
        value: Arc::from(value),
    }
}

fn key() -> ObjectKey {
    ObjectKey::new("a")
}

fn value(store: &MemoryStore) -> Option<String> {
    match store.read(&key()).now_or_never().expect("read at once") {
        ReadOutcome::Found(object) => Some(object.value.as_ref().to_owned()),
        _ => None,
    }
}

#[test]
fn update_faults_end_as_planned() {
    let late = Duration::from_millis(10);
    let cases = [
        (UpdateFault::ReplyLost, UpdateOutcome::Unknown, Some("one")),
        (UpdateFault::RequestLost, UpdateOutcome::Unknown, None),
        (UpdateFault::Conflict, UpdateOutcome::Conflict, None),
        (UpdateFault::Unavailable, UpdateOutcome::Unavailable, None),
        (UpdateFault::ArrivesLate(late), UpdateOutcome::Unknown, None),
    ];
    for (fault, outcome, stored) in cases {
        let store = MemoryStore::default();
        store.inject_update_faults([Some(fault)]);
        let ended = store.update(change(0, "one")).now_or_never();
        assert_eq!(ended, Some(outcome), "{fault:?}");
        assert_eq!(value(&store).as_deref(), stored, "{fault:?}");
    }
}

#[test]
fn late_update_arrives_unless_the_version_has_moved() {
    for overtaken in [false, true] {
        let store = MemoryStore::default();
        let late = Duration::from_millis(10);
        store.inject_update_faults([Some(UpdateFault::ArrivesLate(late))]);
        store.update(change(0, "late")).now_or_never();
        if overtaken {
            store.update(change(0, "other")).now_or_never();
        }
        store.advance(late);
        let stored = if overtaken { "other" } else { "late" };
        assert_eq!(value(&store).as_deref(), Some(stored));
    }
}

#[test]
fn slow_calls_end_when_their_time_has_come() {
    let store = MemoryStore::default();
    let slow = Duration::from_millis(10);
    store.inject_update_faults([Some(UpdateFault::Slow(slow))]);
    let mut update = store.update(change(0, "one"));
    assert_eq!((&mut update).now_or_never(), None);
    assert_eq!(value(&store), None);
    store.advance(slow);
    let outcome = update.now_or_never();
    assert_eq!(outcome, Some(UpdateOutcome::Applied(ObjectVersion(1))));
    store.inject_read_faults([Some(ReadFault::Slow(slow))]);
    let mut read = store.read(&key());
    assert_eq!((&mut read).now_or_never(), None);
    store.advance(slow);
    assert!(read.now_or_never().is_some());
}

#[test]
fn old_versions_come_back() {
    let store = MemoryStore::default();
    store.update(change(0, "one")).now_or_never();
    store.update(change(1, "two")).now_or_never();
    store.inject_read_faults([Some(ReadFault::Stale), Some(ReadFault::Unavailable)]);
    assert_eq!(value(&store).as_deref(), Some("one"));
    assert_eq!(value(&store), None);
    assert_eq!(value(&store).as_deref(), Some("two"));
    store.restore_previous(&key());
    assert_eq!(value(&store).as_deref(), Some("one"));
}

#[test]
fn watches_miss_fail_and_go_silent() {
    let store = MemoryStore::default();
    let deadline = ClockTime::from_millis(1_000);
    let faults = [
        WatchFault::MissesUpdate,
        WatchFault::Unavailable,
        WatchFault::Silent,
    ];
    store.inject_watch_faults(faults.map(Some));
    let mut watches = faults.map(|_| store.watch(&key(), ObjectVersion(0), deadline));
    let mut ends = || watches.each_mut().map(|watch| watch.now_or_never());
    store.update(change(0, "one")).now_or_never();
    let [missed, failed, silent] = ends();
    assert_eq!((missed, failed), (None, Some(WatchOutcome::Unavailable)));
    assert_eq!(silent, None);
}

#[test]
fn watch_that_missed_an_update_ends_at_the_next() {
    let store = MemoryStore::default();
    let deadline = ClockTime::from_millis(1_000);
    store.inject_watch_faults([Some(WatchFault::MissesUpdate)]);
    let mut watch = store.watch(&key(), ObjectVersion(0), deadline);
    store.update(change(0, "one")).now_or_never();
    assert_eq!((&mut watch).now_or_never(), None);
    store.update(change(1, "two")).now_or_never();
    let end = watch.now_or_never();
    assert!(
        matches!(end, Some(WatchOutcome::Changed(object)) if object.version == ObjectVersion(2))
    );
}

#[test]
fn outage_ends_waiting_watches_and_refuses_calls() {
    let store = MemoryStore::default();
    let deadline = ClockTime::from_millis(1_000);
    let mut watch = store.watch(&key(), ObjectVersion(0), deadline);
    assert_eq!((&mut watch).now_or_never(), None);
    store.set_down(true);
    assert_eq!(watch.now_or_never(), Some(WatchOutcome::Unavailable));
    let update = store.update(change(0, "one")).now_or_never();
    assert_eq!(update, Some(UpdateOutcome::Unavailable));
    assert_eq!(store.calls(), 2);
}
