//! Objects of the store as items of the peer layer, and back.
//!
//! A body is always encoded anew from the model, so that every node comes to
//! the same digest whoever wrote the object.

use base::prelude::*;
use document::Document;
use groups::{FabricRecord, FabricWire};
use members::{Item, ItemKey};

/// Name under which the whole document is one item.
const DOCUMENT_ITEM: &str = "document";

/// Object as it comes out of an item.
pub(crate) enum ItemContent {
    Document(Arc<Document>),
    Fabric(FabricRecord),
    /// Removed, of no known kind, or not to be read.
    Nothing,
}

pub(crate) fn document_item(version: ObjectVersion, document: &Document) -> Item {
    Item {
        key: ItemKey::Section(document_name()),
        version,
        body: Some(document.encode()),
    }
}

pub(crate) fn fabric_item(version: ObjectVersion, record: &FabricRecord) -> Item {
    let wire = FabricWire::from(record.clone());
    let body = serde_json::to_string(&wire).expect("names, numbers and addresses are plain JSON");
    Item {
        key: ItemKey::Fabric(record.fabric.clone()),
        version,
        body: Some(Arc::from(body)),
    }
}

/// Decodes an item that was proven.
pub(crate) fn read_item(item: &Item) -> ItemContent {
    let Some(body) = &item.body else {
        return ItemContent::Nothing;
    };
    match &item.key {
        ItemKey::Section(name) if *name == document_name() => read_document(body),
        ItemKey::Section(_) => ItemContent::Nothing,
        ItemKey::Fabric(fabric) => read_fabric(fabric, body),
    }
}

fn read_document(body: &str) -> ItemContent {
    match Document::decode(body) {
        Ok(document) => ItemContent::Document(Arc::new(document)),
        Err(fault) => {
            log::error!("a peer's document cannot be read: {fault}");
            ItemContent::Nothing
        }
    }
}

fn read_fabric(fabric: &FabricName, body: &str) -> ItemContent {
    match serde_json::from_str::<FabricWire>(body).map(FabricRecord::from) {
        Ok(record) if record.fabric == *fabric => ItemContent::Fabric(record),
        Ok(_) => ItemContent::Nothing,
        Err(fault) => {
            log::error!(fabric = fabric.as_str(); "a peer's fabric record cannot be read: {fault}");
            ItemContent::Nothing
        }
    }
}

fn document_name() -> SectionName {
    SectionName::new(DOCUMENT_ITEM).expect("the text is a name")
}
