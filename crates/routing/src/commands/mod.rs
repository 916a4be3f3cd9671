//! Commands that change the routing state.

mod call;
mod observe;
mod target;

pub use call::{begin, begin_beside, finish, finish_attempt};
pub use observe::{observe_cache, observe_load};
pub use target::{mark_leaving, set_node_count, set_targets};
