//! Emulator of a model engine: applies orders, reports its state and streams tokens.
//!
//! [`state::EngineState`] decides which orders are accepted, [`tokens`] generates
//! the answers, [`chat`] encodes them and [`service::EngineService`] is the HTTP
//! interface.

pub mod chat;
mod service;
pub mod state;
pub mod tokens;

pub use service::{EngineOptions, EngineService};
pub use state::{EngineOrder, EngineState, OrderVerdict};
