//! Queries, which compute plans.

mod flows;
mod plan;

pub use plan::plan;
