//! Settings of one entry host.
//!
//! Both daemons of a host read the same YAML file. It is validated completely
//! before anything starts. Each fault is reported with its position and what to
//! write instead. After [`parse_settings`], code only handles validated types.

mod check;
mod error;
mod model;
mod wire;

pub use check::parse_settings;
pub use error::{SettingFault, SettingsError};
pub use model::{ControllerSettings, GatewaySettings, HostSettings, PeerSettings};
