//! Registration of daemons in the store, where the command-line tool finds them and
//! the gateways count each other.

use std::rc::Rc;

use base::prelude::*;
use store::{ObjectChange, ObjectStore, ReadOutcome, UpdateOutcome};

use crate::NodeEntry;
use crate::keys::node_key;

/// Delay after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Writes a daemon's entry to the store, retrying in the background until it succeeds.
pub fn register_node(store: Rc<dyn ObjectStore>, clock: Rc<dyn ClockSource>, entry: NodeEntry) {
    monoio::spawn(async move {
        while !write_entry(store.as_ref(), &entry).await {
            net::sleep_until(clock.as_ref(), clock.now() + RETRY_DELAY).await;
        }
    });
}

/// Removes a daemon's entry from the store, in one attempt in the background.
///
/// If the store does not respond, the entry stays. The only consequence is that
/// the other gateways leave this node's share of the slots unused.
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

async fn write_entry(store: &dyn ObjectStore, entry: &NodeEntry) -> bool {
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
