//! Emulator of the platform: objects with versions and watches, and the list of hosts.
//!
//! [`objects::ObjectTable`] stores the objects, [`faults::PlatformFaults`] holds
//! the injected faults, and [`service::PlatformService`] is the HTTP interface.

pub mod faults;
pub mod objects;
mod service;

pub use faults::PlatformFaults;
pub use objects::ObjectTable;
pub use service::PlatformService;
