//! Clients of the services around the system: the platform's object API and list
//! of hosts, the control interface of endpoints, and the status pages of daemons.
//!
//! Each service is reached over HTTP through a trait object, so that the decision
//! code and its tests do not depend on HTTP.

mod drains;
mod engine;
mod entries;
mod hosts;
pub mod keys;
mod nodes;
mod objects;
mod reads;
mod registration;
pub mod status;
pub mod wire;

pub use drains::{DrainList, DrainsWire};
pub use engine::{EngineClient, HttpEngineClient, OrderOutcome, ReportOutcome};
pub use hosts::{HostDirectory, HostEntry, HostsOutcome, HttpHostDirectory, Presence};
pub use nodes::{
    HttpNodeClient, NodeClient, NodeEntry, NodeRole, NodeWire, RoleWire, STATUS_PATH, StatusOutcome,
};
pub use objects::{HttpObjectStore, STORE_ERA};
pub use reads::{
    DocumentOutcome, FabricRead, count_gateways, read_drains, read_fabric, read_fabrics,
    read_good_sections, watch_document,
};
pub use registration::{deregister_node, register_node};
