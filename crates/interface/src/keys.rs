//! Keys of the system's objects in the platform's store.

use base::prelude::*;
use store::ObjectKey;

use crate::NodeRole;

/// Prefix of the fabric domains' records.
pub const FABRIC_PREFIX: &str = "fabrics/";
/// Prefix of the nodes' entries.
pub const NODE_PREFIX: &str = "nodes/";

/// The document.
pub fn document_key() -> ObjectKey {
    ObjectKey::new("config/document")
}

/// Last good versions of the document's sections.
pub fn good_sections_key() -> ObjectKey {
    ObjectKey::new("config/good")
}

/// Hosts that operators are draining.
pub fn drains_key() -> ObjectKey {
    ObjectKey::new("config/drains")
}

/// Record of a fabric domain.
pub fn fabric_key(fabric: &FabricName) -> ObjectKey {
    ObjectKey::new(&format!("{FABRIC_PREFIX}{fabric}"))
}

/// Entry of one daemon.
pub fn node_key(node: &NodeName, role: NodeRole) -> ObjectKey {
    ObjectKey::new(&format!("{NODE_PREFIX}{node}/{role}"))
}
