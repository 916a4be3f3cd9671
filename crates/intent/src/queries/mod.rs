//! Lookups in the configuration.

mod access;
mod route;

pub use access::{AccessOutcome, check_access};
pub use route::{find_route, pick_service};
