//! Fault injection of the in-memory store.

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
    match store
        .read(&key())
        .now_or_never()
        .expect("reads complete at once")
    {
        ReadOutcome::Found(object) => Some(object.value.as_ref().to_owned()),
        _ => None,
    }
}

#[test]
fn injected_update_faults_determine_the_outcome() {
    let delay = Duration::from_millis(10);
    let cases = [
        (UpdateFault::ReplyLost, UpdateOutcome::Unknown, Some("one")),
        (UpdateFault::RequestLost, UpdateOutcome::Unknown, None),
        (UpdateFault::Conflict, UpdateOutcome::Conflict, None),
        (UpdateFault::Unavailable, UpdateOutcome::Unavailable, None),
        (
            UpdateFault::ArrivesLate(delay),
            UpdateOutcome::Unknown,
            None,
        ),
    ];
    for (fault, outcome, stored) in cases {
        let store = MemoryStore::default();
        store.inject_update_faults([Some(fault)]);
        let actual = store.update(change(0, "one")).now_or_never();
        assert_eq!(actual, Some(outcome), "{fault:?}");
        assert_eq!(value(&store).as_deref(), stored, "{fault:?}");
    }
}

#[test]
fn delayed_update_applies_unless_the_version_has_changed() {
    for is_overtaken in [false, true] {
        let store = MemoryStore::default();
        let delay = Duration::from_millis(10);
        store.inject_update_faults([Some(UpdateFault::ArrivesLate(delay))]);
        store.update(change(0, "late")).now_or_never();
        if is_overtaken {
            store.update(change(0, "other")).now_or_never();
        }
        store.advance(delay);
        let stored = if is_overtaken { "other" } else { "late" };
        assert_eq!(value(&store).as_deref(), Some(stored));
    }
}

#[test]
fn slow_calls_complete_after_their_delay() {
    let store = MemoryStore::default();
    let delay = Duration::from_millis(10);
    store.inject_update_faults([Some(UpdateFault::Slow(delay))]);
    let mut update = store.update(change(0, "one"));
    assert_eq!((&mut update).now_or_never(), None);
    assert_eq!(value(&store), None);
    store.advance(delay);
    let outcome = update.now_or_never();
    assert_eq!(outcome, Some(UpdateOutcome::Applied(ObjectVersion(1))));
    store.inject_read_faults([Some(ReadFault::Slow(delay))]);
    let mut read = store.read(&key());
    assert_eq!((&mut read).now_or_never(), None);
    store.advance(delay);
    assert!(read.now_or_never().is_some());
}

#[test]
fn stale_reads_and_restored_objects_have_the_previous_value() {
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
fn injected_watch_faults_determine_the_outcome() {
    let store = MemoryStore::default();
    let deadline = ClockTime::from_millis(1_000);
    let faults = [
        WatchFault::MissesUpdate,
        WatchFault::Unavailable,
        WatchFault::Silent,
    ];
    store.inject_watch_faults(faults.map(Some));
    let mut watches = faults.map(|_| store.watch(&key(), ObjectVersion(0), deadline));
    let mut poll_all = || watches.each_mut().map(|watch| watch.now_or_never());
    store.update(change(0, "one")).now_or_never();
    let [missed, failed, silent] = poll_all();
    assert_eq!((missed, failed), (None, Some(WatchOutcome::Unavailable)));
    assert_eq!(silent, None);
}

#[test]
fn watch_that_missed_an_update_ends_at_the_next_one() {
    let store = MemoryStore::default();
    let deadline = ClockTime::from_millis(1_000);
    store.inject_watch_faults([Some(WatchFault::MissesUpdate)]);
    let mut watch = store.watch(&key(), ObjectVersion(0), deadline);
    store.update(change(0, "one")).now_or_never();
    assert_eq!((&mut watch).now_or_never(), None);
    store.update(change(1, "two")).now_or_never();
    let outcome = watch.now_or_never();
    assert!(
        matches!(outcome, Some(WatchOutcome::Changed(object)) if object.version == ObjectVersion(2))
    );
}

#[test]
fn outage_ends_pending_watches_and_fails_calls() {
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
