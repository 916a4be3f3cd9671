//! Changes of the relay's state.

mod attempts;
mod calls;
mod places;
mod stalls;

pub use attempts::end_attempt;
pub use calls::{arrive, finish};
pub use places::{
    note_engine_load, note_progress, note_remote, note_totals, set_places, suspect_place,
};
pub use stalls::{check_stall, silent_place};
