//! Reads and decodes the system's own objects in the store.

use base::prelude::*;
use document::{Document, GoodSections};
use groups::{FabricRecord, FabricWire};
use store::{ListOutcome, ObjectStore, ReadOutcome, StoredObject, WatchOutcome};

use crate::keys::{
    FABRIC_PREFIX, NODE_PREFIX, document_key, drains_key, fabric_key, good_sections_key,
};
use crate::{DrainList, NodeEntry, NodeRole};

/// Record of a fabric domain with its version; `None` if it has never been written.
pub type FabricRead = Option<(FabricRecord, ObjectVersion)>;

/// Outcome of a watch of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentOutcome {
    /// The document has another version.
    Changed(ObjectVersion, Arc<Document>),
    /// The document still has the version given to the watch.
    Unchanged,
    /// The store did not respond, or the document could not be decoded.
    Failed,
}

/// Waits until the document has a newer version than `after`.
pub async fn watch_document(
    store: &dyn ObjectStore,
    after: ObjectVersion,
    deadline: ClockTime,
) -> DocumentOutcome {
    let object = match store.watch(&document_key(), after, deadline).await {
        WatchOutcome::Changed(object) => object,
        WatchOutcome::Unchanged => return DocumentOutcome::Unchanged,
        WatchOutcome::Missing | WatchOutcome::Unavailable => return DocumentOutcome::Failed,
    };
    match Document::decode(&object.value) {
        Ok(document) => {
            for name in document.misnamed.keys() {
                log::warn!(version = object.version.0, section:% = name; "section not used: its name is invalid");
            }
            DocumentOutcome::Changed(object.version, Arc::new(document))
        }
        Err(error) => {
            log::error!(version = object.version.0; "{error}");
            DocumentOutcome::Failed
        }
    }
}

/// Reads the last good sections with the version of their object, which is zero if
/// none were ever written; `None` if the store does not respond.
///
/// Only a process that rejects a section needs them. A list that cannot be
/// decoded counts as empty, since the next edit of any section replaces it.
pub async fn read_good_sections(store: &dyn ObjectStore) -> Option<(ObjectVersion, GoodSections)> {
    match store.read(&good_sections_key()).await {
        ReadOutcome::Found(object) => {
            let sections = GoodSections::decode(&object.value);
            Some((object.version, sections.unwrap_or_default()))
        }
        ReadOutcome::Missing => Some((ObjectVersion(0), GoodSections::default())),
        ReadOutcome::Unavailable => None,
    }
}

/// Reads the records of all fabric domains; `None` if the store does not respond.
pub async fn read_fabrics(store: &dyn ObjectStore) -> Option<Vec<(FabricRecord, ObjectVersion)>> {
    match store.list(FABRIC_PREFIX).await {
        ListOutcome::Found(objects) => Some(objects.iter().filter_map(decode_fabric).collect()),
        ListOutcome::Unavailable => None,
    }
}

/// Reads the record of one fabric domain; `None` if the store does not respond or
/// the record cannot be decoded.
pub async fn read_fabric(store: &dyn ObjectStore, fabric: &FabricName) -> Option<FabricRead> {
    match store.read(&fabric_key(fabric)).await {
        ReadOutcome::Found(object) => decode_fabric(&object).map(Some),
        ReadOutcome::Missing => {
            let absent = store.absent_version();
            // A restored store may have lost a record that the reader knows.
            let is_restored = absent.era() > 0;
            Some(is_restored.then(|| (FabricRecord::new(fabric.clone()), absent)))
        }
        ReadOutcome::Unavailable => None,
    }
}

/// Reads the hosts that operators are draining; `None` if the store does not
/// respond or the list cannot be decoded.
pub async fn read_drains(store: &dyn ObjectStore) -> Option<DrainList> {
    match store.read(&drains_key()).await {
        ReadOutcome::Found(object) => DrainList::decode(&object.value),
        ReadOutcome::Missing => Some(DrainList::default()),
        ReadOutcome::Unavailable => None,
    }
}

/// Counts the gateways that are registered; `None` if the store does not respond.
pub async fn count_gateways(store: &dyn ObjectStore) -> Option<usize> {
    let ListOutcome::Found(objects) = store.list(NODE_PREFIX).await else {
        return None;
    };
    let entries = objects
        .iter()
        .filter_map(|object| NodeEntry::decode(&object.value));
    let gateways = entries.filter(|entry| entry.role == NodeRole::Gateway);
    Some(gateways.count())
}

fn decode_fabric(object: &StoredObject) -> Option<(FabricRecord, ObjectVersion)> {
    match serde_json::from_str::<FabricWire>(&object.value) {
        Ok(wire) => Some((wire.into(), object.version)),
        Err(error) => {
            log::error!(key = object.key.as_str(); "fabric record could not be decoded: {error}");
            None
        }
    }
}
