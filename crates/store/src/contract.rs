//! Conformance checks for implementations of [`ObjectStore`].
//!
//! Each rule is checked against a live store under its own keys, so the tests of
//! any implementation can run all of them with [`check_contract`].

use std::cmp::Ordering;

use base::prelude::*;
use futures_util::future::join;

use crate::{
    ListOutcome, MAX_VALUE_BYTES, ObjectChange, ObjectKey, ObjectStore, ReadOutcome, RemoveOutcome,
    UpdateOutcome, WatchOutcome,
};

/// Rule that a store violated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContractViolation {
    /// Text of the rule.
    pub rule: &'static str,
    /// Debug output of the outcome that violates it.
    pub found: String,
}

/// Checks every rule and returns the violations.
///
/// All keys begin with `scope`. `past` must be before the current time of the
/// store's clock, and `future` must not be reached during the check.
pub async fn check_contract(
    store: &dyn ObjectStore,
    scope: &str,
    past: ClockTime,
    future: ClockTime,
) -> Vec<ContractViolation> {
    let mut check = ContractCheck {
        store,
        scope: scope.to_owned(),
        violations: Vec::new(),
    };
    check.missing_objects().await;
    check.conditional_updates().await;
    check.creation().await;
    check.removal().await;
    check.recreation().await;
    check.value_limit().await;
    check.listing().await;
    check.expired_watch(past).await;
    check.pending_watch(future).await;
    check.watch_of_old_version(future).await;
    check.violations
}

struct ContractCheck<'a> {
    store: &'a dyn ObjectStore,
    scope: String,
    violations: Vec<ContractViolation>,
}

impl ContractCheck<'_> {
    fn key(&self, name: &str) -> ObjectKey {
        ObjectKey::new(&format!("{}{name}", self.scope))
    }

    fn expect<T: std::fmt::Debug>(&mut self, rule: &'static str, holds: bool, found: &T) {
        if !holds {
            let found = format!("{found:?}");
            self.violations.push(ContractViolation { rule, found });
        }
    }

    async fn write(&self, key: &ObjectKey, expected: ObjectVersion, value: &str) -> UpdateOutcome {
        let change = ObjectChange {
            key: key.clone(),
            expected,
            value: Arc::from(value),
        };
        self.store.update(change).await
    }

    /// Creates an object and returns its version.
    async fn create(&mut self, key: &ObjectKey, value: &str) -> ObjectVersion {
        match self.write(key, ObjectVersion::default(), value).await {
            UpdateOutcome::Applied(version) => version,
            outcome => {
                self.expect(
                    "an update of a missing object at zero creates it",
                    false,
                    &outcome,
                );
                ObjectVersion::default()
            }
        }
    }

    async fn missing_objects(&mut self) {
        let key = self.key("missing");
        let read = self.store.read(&key).await;
        self.expect(
            "a missing object reads as missing",
            read == ReadOutcome::Missing,
            &read,
        );
        let outcome = self.write(&key, ObjectVersion(7), "x").await;
        let holds = outcome == UpdateOutcome::Conflict;
        self.expect(
            "an update of a missing object above zero conflicts",
            holds,
            &outcome,
        );
    }

    async fn conditional_updates(&mut self) {
        let key = self.key("conditional");
        let first = self.create(&key, "one").await;
        let outcome = self.write(&key, first, "two").await;
        let is_newer = matches!(outcome, UpdateOutcome::Applied(second) if second > first);
        self.expect("an update creates a newer version", is_newer, &outcome);
        let stale = self.write(&key, first, "three").await;
        let holds = stale == UpdateOutcome::Conflict;
        self.expect("an update of an old version conflicts", holds, &stale);
        let read = self.store.read(&key).await;
        let holds = matches!(&read, ReadOutcome::Found(object) if &*object.value == "two");
        self.expect("an update that conflicts changes nothing", holds, &read);
        let is_consistent = match (&read, outcome) {
            (ReadOutcome::Found(object), UpdateOutcome::Applied(version)) => {
                object.version == version && object.key == key
            }
            _ => false,
        };
        self.expect(
            "a read returns the key and the version of the update",
            is_consistent,
            &read,
        );
    }

    async fn creation(&mut self) {
        let key = self.key("creation");
        self.create(&key, "one").await;
        let outcome = self.write(&key, ObjectVersion::default(), "two").await;
        let holds = outcome == UpdateOutcome::Conflict;
        self.expect(
            "an update of an existing object at zero conflicts",
            holds,
            &outcome,
        );
    }

    async fn removal(&mut self) {
        let key = self.key("removal");
        let first = self.create(&key, "one").await;
        self.write(&key, first, "two").await;
        let stale = self.store.remove(&key, first).await;
        let holds = stale == RemoveOutcome::Conflict;
        self.expect("a removal at an old version conflicts", holds, &stale);
        let at_zero = self.store.remove(&key, ObjectVersion::default()).await;
        let holds = at_zero == RemoveOutcome::Conflict;
        self.expect("a removal at zero conflicts", holds, &at_zero);
        let current = match self.store.read(&key).await {
            ReadOutcome::Found(object) => object.version,
            _ => ObjectVersion::default(),
        };
        let removed = self.store.remove(&key, current).await;
        let holds = removed == RemoveOutcome::Removed;
        self.expect("a removal at the current version succeeds", holds, &removed);
        let read = self.store.read(&key).await;
        self.expect(
            "a removed object is missing",
            read == ReadOutcome::Missing,
            &read,
        );
    }

    async fn recreation(&mut self) {
        let key = self.key("recreation");
        let first = self.create(&key, "one").await;
        self.store.remove(&key, first).await;
        let second = self.create(&key, "two").await;
        let rule = "a recreated object has a newer version than before";
        self.expect(rule, second > first, &(first, second));
        let stale = self.write(&key, first, "three").await;
        let holds = stale == UpdateOutcome::Conflict;
        self.expect("an update from before a removal conflicts", holds, &stale);
    }

    async fn value_limit(&mut self) {
        let key = self.key("limit");
        let largest = "x".repeat(MAX_VALUE_BYTES);
        let version = self.create(&key, &largest).await;
        let outcome = self
            .write(&key, version, &"x".repeat(MAX_VALUE_BYTES + 1))
            .await;
        let holds = outcome == UpdateOutcome::TooLarge;
        self.expect("a value above the limit is too large", holds, &outcome);
        let read = self.store.read(&key).await;
        let holds = matches!(&read, ReadOutcome::Found(object) if object.version == version);
        self.expect("a value that is too large changes nothing", holds, &version);
    }

    async fn listing(&mut self) {
        for name in ["list/b", "list/a", "listed"] {
            let key = self.key(name);
            self.create(&key, name).await;
        }
        let outcome = self.store.list(&format!("{}list/", self.scope)).await;
        let expected = [self.key("list/a"), self.key("list/b")];
        let holds = match &outcome {
            ListOutcome::Found(objects) => {
                objects.iter().map(|o| &o.key).cmp(&expected) == Ordering::Equal
            }
            ListOutcome::Unavailable => false,
        };
        self.expect(
            "a list returns the objects of its prefix in key order",
            holds,
            &outcome,
        );
    }

    async fn expired_watch(&mut self, past: ClockTime) {
        let key = self.key("finished");
        let missing = self.store.watch(&key, ObjectVersion::default(), past).await;
        let holds = missing == WatchOutcome::Missing;
        self.expect(
            "a watch of a missing object ends at its deadline",
            holds,
            &missing,
        );
        let version = self.create(&key, "one").await;
        let unchanged = self.store.watch(&key, version, past).await;
        let holds = unchanged == WatchOutcome::Unchanged;
        self.expect(
            "a watch past its deadline reports no change",
            holds,
            &unchanged,
        );
    }

    async fn pending_watch(&mut self, future: ClockTime) {
        let key = self.key("waiting");
        let watch = self.store.watch(&key, ObjectVersion::default(), future);
        let (created, first) = join(watch, self.write(&key, ObjectVersion::default(), "one")).await;
        self.expect(
            "a watch ends when its object is created",
            reports_update(&created, &first),
            &created,
        );
        let UpdateOutcome::Applied(version) = first else {
            return;
        };
        let watch = self.store.watch(&key, version, future);
        let (updated, second) = join(watch, self.write(&key, version, "two")).await;
        self.expect(
            "a watch ends when its object is updated",
            reports_update(&updated, &second),
            &updated,
        );
    }

    async fn watch_of_old_version(&mut self, future: ClockTime) {
        let key = self.key("newest");
        let first = self.create(&key, "one").await;
        let second = self.write(&key, first, "two").await;
        let watched = self.store.watch(&key, first, future).await;
        self.expect(
            "a watch of an old version ends at once",
            reports_update(&watched, &second),
            &watched,
        );
    }
}

fn reports_update(watch: &WatchOutcome, outcome: &UpdateOutcome) -> bool {
    match (watch, outcome) {
        (WatchOutcome::Changed(object), UpdateOutcome::Applied(version)) => {
            object.version == *version
        }
        _ => false,
    }
}
