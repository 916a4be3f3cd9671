//! Settings of one entry host.
//!
//! Both daemons of a host read the same YAML file. It is checked whole before
//! anything starts, and every fault names its place and what to write instead.
//! Code after [`parse_settings`] sees checked types only.

mod check;
mod error;
mod model;
mod wire;

pub use check::parse_settings;
pub use error::{SettingFault, SettingsError};
pub use model::{ControllerSettings, GatewaySettings, HostSettings, PeerSettings};
