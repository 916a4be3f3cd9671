//! Enters a daemon in the store, so that operators find it.

use std::rc::Rc;

use base::prelude::*;
use store::{ObjectChange, ObjectStore, ReadOutcome, UpdateOutcome};

use crate::NodeEntry;
use crate::keys::node_key;

/// Pause after a try that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Keeps trying in the background until the daemon's entry stands.
pub fn register_node(store: Rc<dyn ObjectStore>, clock: Rc<dyn ClockSource>, entry: NodeEntry) {
    monoio::spawn(async move {
        while !enter(store.as_ref(), &entry).await {
            net::sleep_until(clock.as_ref(), clock.now() + RETRY_PAUSE).await;
        }
    });
}

/// Takes a daemon's entry back, once and in the background.
///
/// An entry that stays because the store gives no answer makes the other
/// gateways leave its part of the slots unused, and nothing worse.
pub fn deregister_node(store: Rc<dyn ObjectStore>, entry: NodeEntry) {
    monoio::spawn(async move {
        let key = node_key(&entry.node, entry.role);
        if let ReadOutcome::Found(object) = store.read(&key).await
            && object.value == entry.encode()
        {
            store.remove(&key, object.version).await;
        }
    });
}

async fn enter(store: &dyn ObjectStore, entry: &NodeEntry) -> bool {
    let key = node_key(&entry.node, entry.role);
    let value = entry.encode();
    let expected = match store.read(&key).await {
        ReadOutcome::Found(object) if object.value == value => return true,
        ReadOutcome::Found(object) => object.version,
        ReadOutcome::Missing => ObjectVersion(0),
        ReadOutcome::Unavailable => return false,
    };
    let change = ObjectChange {
        key,
        expected,
        value,
    };
    matches!(store.update(change).await, UpdateOutcome::Applied(_))
}
