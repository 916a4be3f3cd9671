//! Keys of the system's objects in the platform's store.

use base::prelude::*;
use store::ObjectKey;

use crate::NodeRole;

/// Prefix of the keys of fabric records.
pub const FABRIC_PREFIX: &str = "fabrics/";
/// Prefix of the keys of daemons' entries.
pub const NODE_PREFIX: &str = "nodes/";

/// Key of the configuration document.
pub fn document_key() -> ObjectKey {
    ObjectKey::new("config/document")
}

/// Key of the last good versions of the document's sections.
pub fn good_sections_key() -> ObjectKey {
    ObjectKey::new("config/good")
}

/// Key of the list of hosts that operators are draining.
pub fn drains_key() -> ObjectKey {
    ObjectKey::new("config/drains")
}

/// Key of a fabric domain's record.
pub fn fabric_key(fabric: &FabricName) -> ObjectKey {
    ObjectKey::new(&format!("{FABRIC_PREFIX}{fabric}"))
}

/// Key of a daemon's entry.
pub fn node_key(node: &NodeName, role: NodeRole) -> ObjectKey {
    ObjectKey::new(&format!("{NODE_PREFIX}{node}/{role}"))
}
