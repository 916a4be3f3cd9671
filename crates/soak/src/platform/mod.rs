//! Emulation of the platform: its store, servers and configuration.

mod config;
mod fleet;
mod server;
mod store;

pub(crate) use config::{ConfigPublisher, ROUTE_HOST, STREAM_EVENTS, tenant_of};
pub(crate) use fleet::{Fleet, TroubleSource};
pub(crate) use server::{ServerService, whole_body};
pub(crate) use store::{StoreService, StoreState};
