//! The platform: objects with versions and watches, and the list of hosts.
//!
//! [`objects::ObjectTable`] keeps the objects, [`faults::PlatformFaults`] what
//! is to go wrong, and [`service::PlatformService`] is their HTTP interface.

pub mod faults;
pub mod objects;
mod service;

pub use faults::PlatformFaults;
pub use objects::ObjectTable;
pub use service::PlatformService;
