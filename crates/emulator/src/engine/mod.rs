//! Model engine: takes orders, reports, and streams tokens.
//!
//! [`state::EngineState`] decides which orders it takes, [`tokens`] makes its
//! answers, [`chat`] gives them their wire forms and [`service::EngineService`]
//! is the HTTP interface.

pub mod chat;
mod service;
pub mod state;
pub mod tokens;

pub use service::{EngineOptions, EngineService};
pub use state::{EngineOrder, EngineState, OrderVerdict};
