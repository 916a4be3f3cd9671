//! The platform as this process plays it.

mod fleet;
mod intent;
mod server;
mod store;

pub(crate) use fleet::Fleet;
pub(crate) use intent::{IntentDesk, STREAM_EVENTS};
pub(crate) use server::ServerDesk;
pub(crate) use store::{StoreDesk, StoreState};
