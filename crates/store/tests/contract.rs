//! Checks that the in-memory store conforms and that violations are detected.

use base::prelude::*;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use store::contract::check_contract;
use store::*;

/// Maximum number of polls of a check that does not depend on the clock.
const POLL_LIMIT: usize = 16;

/// Store that violates one rule.
struct FaultyStore {
    inner: MemoryStore,
    broken_rule: BrokenRule,
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
        let prefix = match self.broken_rule {
            BrokenRule::Listing => prefix.trim_end_matches('/'),
            _ => prefix,
        };
        self.inner.list(prefix)
    }

    fn update(&self, mut change: ObjectChange) -> LocalBoxFuture<'static, UpdateOutcome> {
        match self.broken_rule {
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
        match self.broken_rule {
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
        match self.broken_rule {
            BrokenRule::Watch => Box::pin(async { WatchOutcome::Unavailable }),
            _ => self.inner.watch(key, after, deadline),
        }
    }
}

fn violations(broken_rule: BrokenRule) -> Vec<&'static str> {
    let inner = MemoryStore::default();
    inner.advance(Duration::from_secs(1));
    let store = FaultyStore { inner, broken_rule };
    let past = ClockTime::from_millis(500);
    let future = ClockTime::from_millis(60_000);
    let mut check = Box::pin(check_contract(&store, "contract/", past, future));
    let mut polls = (0..POLL_LIMIT).filter_map(|_| (&mut check).now_or_never());
    let violations = polls.next().expect("no call waits for the clock");
    violations
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn memory_store_conforms() {
    assert_eq!(violations(BrokenRule::None), Vec::<&str>::new());
}

#[test]
fn violations_are_detected() {
    let cases = [
        (
            BrokenRule::Condition,
            "an update of an old version conflicts",
        ),
        (BrokenRule::Removal, "a removed object is missing"),
        (BrokenRule::Limit, "a value above the limit is too large"),
        (
            BrokenRule::Listing,
            "a list returns the objects of its prefix in key order",
        ),
        (BrokenRule::Watch, "a watch ends when its object is created"),
    ];
    for (broken_rule, rule) in cases {
        let found = violations(broken_rule);
        assert!(found.contains(&rule), "{broken_rule:?}: {found:?}");
    }
}
