//! Reads of the system's own objects, decoded.

use base::prelude::*;
use document::{Document, GoodSections};
use groups::{FabricRecord, FabricWire};
use store::{ListOutcome, ObjectStore, ReadOutcome, StoredObject, WatchOutcome};

use crate::keys::{
    FABRIC_PREFIX, NODE_PREFIX, document_key, drains_key, fabric_key, good_sections_key,
};
use crate::{DrainList, NodeEntry, NodeRole};

/// Fabric domain's record with its version; none where it has never been written.
pub type FabricRead = Option<(FabricRecord, ObjectVersion)>;

/// End of a watch of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentOutcome {
    /// A document of another version.
    Changed(ObjectVersion, Arc<Document>),
    /// The store still has the version that was watched from.
    Unchanged,
    /// No answer, or no readable document.
    Failed,
}

/// Waits for a document newer than a version.
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
        Ok(document) => DocumentOutcome::Changed(object.version, Arc::new(document)),
        Err(fault) => {
            log::error!(version = object.version.0; "{fault}");
            DocumentOutcome::Failed
        }
    }
}

/// Reads the last good sections; `None` if there is no answer.
///
/// They matter only to a process that holds a section back. A list that cannot
/// be decoded counts as empty, since the next edit of any section mends it.
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

/// Reads every fabric domain; `None` if the store gives no answer.
pub async fn read_fabrics(store: &dyn ObjectStore) -> Option<Vec<(FabricRecord, ObjectVersion)>> {
    match store.list(FABRIC_PREFIX).await {
        ListOutcome::Found(objects) => Some(objects.iter().filter_map(decode_fabric).collect()),
        ListOutcome::Unavailable => None,
    }
}

/// Reads one fabric domain; `None` if there is no answer or it cannot be read.
pub async fn read_fabric(store: &dyn ObjectStore, fabric: &FabricName) -> Option<FabricRead> {
    match store.read(&fabric_key(fabric)).await {
        ReadOutcome::Found(object) => decode_fabric(&object).map(Some),
        ReadOutcome::Missing => Some(None),
        ReadOutcome::Unavailable => None,
    }
}

/// Reads the hosts that operators are draining; `None` if there is no answer.
pub async fn read_drains(store: &dyn ObjectStore) -> Option<DrainList> {
    match store.read(&drains_key()).await {
        ReadOutcome::Found(object) => DrainList::decode(&object.value),
        ReadOutcome::Missing => Some(DrainList::default()),
        ReadOutcome::Unavailable => None,
    }
}

/// Counts the nodes that entered a gateway; `None` if there is no answer.
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
        Err(fault) => {
            log::error!(key = object.key.as_str(); "the fabric record cannot be read: {fault}");
            None
        }
    }
}
