//! The platform as this process plays it.

mod fleet;
mod intent;
mod server;
mod store;

pub(crate) use fleet::Fleet;
pub(crate) use intent::{IntentDesk, STREAM_EVENTS};
pub(crate) use server::ServerDesk;
pub(crate) use store::{StoreDesk, StoreState};

use http::HeaderMap;

/// Text of a header; empty if it is missing.
pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
