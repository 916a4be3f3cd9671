//! The in-memory store keeps to the contract, and a store that doesn't is found.

use base::prelude::*;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use store::contract::check_contract;
use store::*;

/// Polls within which a check that waits for nothing but itself must end.
const POLL_LIMIT: usize = 16;

/// Store that breaks one rule.
struct FaultyStore {
    inner: MemoryStore,
    breaks: BrokenRule,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum BrokenRule {
    None,
    Condition,
    Removal,
    Limit,
    Listing,
    Watch,
}

impl ObjectStore for FaultyStore {
    fn read(&self, key: &ObjectKey) -> LocalBoxFuture<'static, ReadOutcome> {
        self.inner.read(key)
    }

    fn list(&self, prefix: &str) -> LocalBoxFuture<'static, ListOutcome> {
        let prefix = match self.breaks {
            BrokenRule::Listing => prefix.trim_end_matches('/'),
            _ => prefix,
        };
        self.inner.list(prefix)
    }

    fn update(&self, mut change: ObjectChange) -> LocalBoxFuture<'static, UpdateOutcome> {
        match self.breaks {
            BrokenRule::Condition => {
                if let Some(ReadOutcome::Found(object)) = self.read(&change.key).now_or_never() {
                    change.expected = object.version;
                }
            }
            BrokenRule::Limit if change.value.len() > MAX_VALUE_BYTES => {
                change.value = "cut".into()
            }
            _ => {}
        }
        self.inner.update(change)
    }

    fn remove(
        &self,
        key: &ObjectKey,
        expected: ObjectVersion,
    ) -> LocalBoxFuture<'static, RemoveOutcome> {
        match self.breaks {
            BrokenRule::Removal => Box::pin(async { RemoveOutcome::Removed }),
            _ => self.inner.remove(key, expected),
        }
    }

    fn watch(
        &self,
        key: &ObjectKey,
        after: ObjectVersion,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, WatchOutcome> {
        match self.breaks {
            BrokenRule::Watch => Box::pin(async { WatchOutcome::Unavailable }),
            _ => self.inner.watch(key, after, deadline),
        }
    }
}

fn breaches(breaks: BrokenRule) -> Vec<&'static str> {
    let inner = MemoryStore::default();
    inner.advance(Duration::from_secs(1));
    let store = FaultyStore { inner, breaks };
    let past = ClockTime::from_millis(500);
    let future = ClockTime::from_millis(60_000);
    let mut check = Box::pin(check_contract(&store, "contract/", past, future));
    let mut polls = (0..POLL_LIMIT).filter_map(|_| (&mut check).now_or_never());
    let breaches = polls.next().expect("no call waits for time");
    breaches.into_iter().map(|breach| breach.rule).collect()
}

#[test]
fn memory_store_keeps_the_contract() {
    assert_eq!(breaches(BrokenRule::None), Vec::<&str>::new());
}

#[test]
fn broken_rules_are_found() {
    let cases = [
        (
            BrokenRule::Condition,
            "an update of an old version conflicts",
        ),
        (BrokenRule::Removal, "a removed object is missing"),
        (BrokenRule::Limit, "a value above the limit is too large"),
        (
            BrokenRule::Listing,
            "a list gives the objects of its prefix in order",
        ),
        (BrokenRule::Watch, "a watch ends when its object is made"),
    ];
    for (breaks, rule) in cases {
        let found = breaches(breaks);
        assert!(found.contains(&rule), "{breaks:?}: {found:?}");
    }
}
