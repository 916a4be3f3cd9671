//! Conversion between objects of the store and items of the peer layer.
//!
//! An item's body is always encoded from the decoded object, so that every node
//! computes the same digest, whichever program wrote the object.

use base::prelude::*;
use document::Document;
use groups::{FabricRecord, FabricWire};
use members::{Item, ItemKey};

/// Section name of the item that holds the whole document.
const DOCUMENT_ITEM: &str = "document";

/// Decoded body of an item.
pub(crate) enum ItemContent {
    Document(Arc<Document>),
    Fabric(FabricRecord),
    /// The object was removed, is of an unknown kind or cannot be decoded.
    Nothing,
}

pub(crate) fn document_item(version: ObjectVersion, document: &Document) -> Item {
    Item {
        key: document_key(),
        version,
        body: Some(document.encode()),
    }
}

/// Key of the item that holds the whole document.
pub(crate) fn document_key() -> ItemKey {
    ItemKey::Section(document_name())
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

/// Decodes an item whose version the peer layer has confirmed.
pub(crate) fn decode_item(item: &Item) -> ItemContent {
    let Some(body) = &item.body else {
        return ItemContent::Nothing;
    };
    match &item.key {
        ItemKey::Section(name) if *name == document_name() => decode_document(body),
        ItemKey::Section(_) => ItemContent::Nothing,
        ItemKey::Fabric(fabric) => decode_fabric(fabric, body),
    }
}

fn decode_document(body: &str) -> ItemContent {
    match Document::decode(body) {
        Ok(document) => ItemContent::Document(Arc::new(document)),
        Err(error) => {
            log::error!("document from a peer cannot be decoded: {error}");
            ItemContent::Nothing
        }
    }
}

fn decode_fabric(fabric: &FabricName, body: &str) -> ItemContent {
    match serde_json::from_str::<FabricWire>(body).map(FabricRecord::from) {
        Ok(record) if record.fabric == *fabric => ItemContent::Fabric(record),
        Ok(_) => ItemContent::Nothing,
        Err(error) => {
            log::error!(fabric = fabric.as_str(); "fabric record from a peer cannot be decoded: {error}");
            ItemContent::Nothing
        }
    }
}

fn document_name() -> SectionName {
    SectionName::new(DOCUMENT_ITEM).expect("the text is a name")
}
