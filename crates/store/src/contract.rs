//! What every [`ObjectStore`] must keep to.
//!
//! Each rule is checked against a live store under keys of its own, so that the
//! tests of any implementation can run all of them with [`check_contract`].

use std::cmp::Ordering;

use base::prelude::*;
use futures_util::future::join;

use crate::{
    ListOutcome, MAX_VALUE_BYTES, ObjectChange, ObjectKey, ObjectStore, ReadOutcome, RemoveOutcome,
    UpdateOutcome, WatchOutcome,
};

/// Rule that a store broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContractViolation {
    /// The rule.
    pub rule: &'static str,
    /// What was seen instead.
    pub found: String,
}

/// Checks every rule under keys that begin with a scope; returns the breaches.
///
/// `past` must be an instant that has passed on the store's clock, and `future`
/// one that won't pass during the check.
pub async fn check_contract(
    store: &dyn ObjectStore,
    scope: &str,
    past: ClockTime,
    future: ClockTime,
) -> Vec<ContractViolation> {
    let mut check = ContractCheck {
        store,
        scope: scope.to_owned(),
        breaches: Vec::new(),
    };
    check.missing_objects().await;
    check.conditional_updates().await;
    check.creation().await;
    check.removal().await;
    check.recreation().await;
    check.value_limit().await;
    check.listing().await;
    check.finished_watch(past).await;
    check.waiting_watch(future).await;
    check.watch_sees_newest(future).await;
    check.breaches
}

struct ContractCheck<'a> {
    store: &'a dyn ObjectStore,
    scope: String,
    breaches: Vec<ContractViolation>,
}

impl ContractCheck<'_> {
    fn key(&self, name: &str) -> ObjectKey {
        ObjectKey::new(&format!("{}{name}", self.scope))
    }

    fn expect<T: std::fmt::Debug>(&mut self, rule: &'static str, kept: bool, found: &T) {
        if !kept {
            let found = format!("{found:?}");
            self.breaches.push(ContractViolation { rule, found });
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

    /// Version of an object that is made for a check.
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
        let kept = outcome == UpdateOutcome::Conflict;
        self.expect(
            "an update of a missing object above zero conflicts",
            kept,
            &outcome,
        );
    }

    async fn conditional_updates(&mut self) {
        let key = self.key("conditional");
        let first = self.create(&key, "one").await;
        let outcome = self.write(&key, first, "two").await;
        let grown = matches!(outcome, UpdateOutcome::Applied(second) if second > first);
        self.expect("an update makes a newer version", grown, &outcome);
        let stale = self.write(&key, first, "three").await;
        let kept = stale == UpdateOutcome::Conflict;
        self.expect("an update of an old version conflicts", kept, &stale);
        let read = self.store.read(&key).await;
        let kept = matches!(&read, ReadOutcome::Found(object) if &*object.value == "two");
        self.expect("an update that conflicts changes nothing", kept, &read);
        let told = match (&read, outcome) {
            (ReadOutcome::Found(object), UpdateOutcome::Applied(version)) => {
                object.version == version && object.key == key
            }
            _ => false,
        };
        self.expect(
            "a read gives the key and the version of the update",
            told,
            &read,
        );
    }

    async fn creation(&mut self) {
        let key = self.key("creation");
        self.create(&key, "one").await;
        let outcome = self.write(&key, ObjectVersion::default(), "two").await;
        let kept = outcome == UpdateOutcome::Conflict;
        self.expect(
            "an update of an existing object at zero conflicts",
            kept,
            &outcome,
        );
    }

    async fn removal(&mut self) {
        let key = self.key("removal");
        let first = self.create(&key, "one").await;
        self.write(&key, first, "two").await;
        let stale = self.store.remove(&key, first).await;
        let kept = stale == RemoveOutcome::Conflict;
        self.expect("a removal at an old version conflicts", kept, &stale);
        let zero = self.store.remove(&key, ObjectVersion::default()).await;
        let kept = zero == RemoveOutcome::Conflict;
        self.expect("a removal at zero conflicts", kept, &zero);
        let present = match self.store.read(&key).await {
            ReadOutcome::Found(object) => object.version,
            _ => ObjectVersion::default(),
        };
        let removed = self.store.remove(&key, present).await;
        let kept = removed == RemoveOutcome::Removed;
        self.expect("a removal at the present version removes", kept, &removed);
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
        let rule = "an object made again has a newer version than before";
        self.expect(rule, second > first, &(first, second));
        let late = self.write(&key, first, "three").await;
        let kept = late == UpdateOutcome::Conflict;
        self.expect("an update from before a removal conflicts", kept, &late);
    }

    async fn value_limit(&mut self) {
        let key = self.key("limit");
        let largest = "x".repeat(MAX_VALUE_BYTES);
        let version = self.create(&key, &largest).await;
        let outcome = self
            .write(&key, version, &"x".repeat(MAX_VALUE_BYTES + 1))
            .await;
        let kept = outcome == UpdateOutcome::TooLarge;
        self.expect("a value above the limit is too large", kept, &outcome);
        let read = self.store.read(&key).await;
        let kept = matches!(&read, ReadOutcome::Found(object) if object.version == version);
        self.expect("a value that is too large changes nothing", kept, &version);
    }

    async fn listing(&mut self) {
        for name in ["list/b", "list/a", "listed"] {
            let key = self.key(name);
            self.create(&key, name).await;
        }
        let outcome = self.store.list(&format!("{}list/", self.scope)).await;
        let expected = [self.key("list/a"), self.key("list/b")];
        let kept = match &outcome {
            ListOutcome::Found(objects) => {
                objects.iter().map(|o| &o.key).cmp(&expected) == Ordering::Equal
            }
            ListOutcome::Unavailable => false,
        };
        self.expect(
            "a list gives the objects of its prefix in order",
            kept,
            &outcome,
        );
    }

    async fn finished_watch(&mut self, past: ClockTime) {
        let key = self.key("finished");
        let missing = self.store.watch(&key, ObjectVersion::default(), past).await;
        let kept = missing == WatchOutcome::Missing;
        self.expect(
            "a watch of a missing object ends at its deadline",
            kept,
            &missing,
        );
        let version = self.create(&key, "one").await;
        let unchanged = self.store.watch(&key, version, past).await;
        let kept = unchanged == WatchOutcome::Unchanged;
        self.expect(
            "a watch past its deadline says that nothing changed",
            kept,
            &unchanged,
        );
    }

    async fn waiting_watch(&mut self, future: ClockTime) {
        let key = self.key("waiting");
        let watch = self.store.watch(&key, ObjectVersion::default(), future);
        let (created, first) = join(watch, self.write(&key, ObjectVersion::default(), "one")).await;
        self.expect(
            "a watch ends when its object is made",
            shows(&created, &first),
            &created,
        );
        let UpdateOutcome::Applied(version) = first else {
            return;
        };
        let watch = self.store.watch(&key, version, future);
        let (updated, second) = join(watch, self.write(&key, version, "two")).await;
        self.expect(
            "a watch ends when its object is updated",
            shows(&updated, &second),
            &updated,
        );
    }

    async fn watch_sees_newest(&mut self, future: ClockTime) {
        let key = self.key("newest");
        let first = self.create(&key, "one").await;
        let second = self.write(&key, first, "two").await;
        let seen = self.store.watch(&key, first, future).await;
        self.expect(
            "a watch of an old version ends at once",
            shows(&seen, &second),
            &seen,
        );
    }
}

fn shows(watch: &WatchOutcome, outcome: &UpdateOutcome) -> bool {
    match (watch, outcome) {
        (WatchOutcome::Changed(object), UpdateOutcome::Applied(version)) => {
            object.version == *version
        }
        _ => false,
    }
}
