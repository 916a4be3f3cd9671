//! Commands that change the relay's state, and the stall checks of its requests.

mod attempts;
mod calls;
mod evacuated;
mod stalls;
mod targets;

pub use attempts::{abort_call, end_attempt, give_up};
pub use calls::{arrive, finish, record_refusal, restrict_call, restrict_calls};
pub use evacuated::{set_evacuated, take_evacuation_skips};
pub use stalls::{check_stall, move_call, silent_target};
pub use targets::{
    forgive_targets, record_progress, set_engines, set_targets, suspect_target, update_engine_load,
    update_remote_counts, update_total_counts,
};
