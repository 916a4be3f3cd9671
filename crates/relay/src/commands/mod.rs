//! Changes of the relay's state.

mod attempts;
mod calls;
mod targets;
mod stalls;
mod targets;

pub use attempts::end_attempt;
pub use calls::{arrive, finish};
pub use targets::{
    update_engine_load, record_progress, update_remote_counts, update_total_counts, set_targets, suspect_target,
};
pub use stalls::{check_stall, silent_target};
