//! Emulation of the platform: its store, servers and configuration.

mod config;
mod fleet;
mod server;
mod store;

pub(crate) use config::{ConfigPublisher, STREAM_EVENTS};
pub(crate) use fleet::Fleet;
pub(crate) use server::ServerService;
pub(crate) use store::{StoreService, StoreState};
