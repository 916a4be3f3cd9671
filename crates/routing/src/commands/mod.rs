//! What is learned of targets.

mod call;
mod observe;
mod target;

pub use call::{begin, finish};
pub use observe::{observe_cache, observe_load};
pub use target::{mark_leaving, set_node_count, set_targets};
