//! Commands that change the relay's state.

mod attempts;
mod calls;
mod stalls;
mod targets;

pub use attempts::end_attempt;
pub use calls::{arrive, finish};
pub use stalls::{check_stall, silent_place};
pub use targets::{
    note_engine_load, note_progress, note_remote, note_totals, set_places, suspect_place,
};
