//! Clients of what surrounds the system: the platform's object API and list of
//! hosts, the orders that endpoints take, and the status pages of the daemons.
//!
//! Each is met through its HTTP interface and a trait object, so that the
//! decision code and its tests never see HTTP.

mod drains;
mod engine;
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
pub use objects::HttpObjectStore;
pub use reads::{
    DocumentOutcome, FabricRead, count_gateways, read_drains, read_fabric, read_fabrics,
    read_good_sections, watch_document,
};
pub use registration::{deregister_node, register_node};
