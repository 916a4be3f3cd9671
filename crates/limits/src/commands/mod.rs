//! Changes of admission and retry state.

mod cancel;
mod configure;
mod expire;
mod offer;
mod refuse;
mod release;
mod retry;
mod start;

pub use cancel::cancel;
pub use configure::{set_capacity, set_capacity_share, set_workspaces};
pub use expire::expire;
pub use offer::offer;
pub use release::release;
pub use retry::{claim_retry, record_request};
