//! Commands that change the planner's state.

mod list;
mod orders;
mod plan;
mod probes;
mod record;

pub use list::{ListChange, change_list, replace_list};
pub use orders::note_order;
pub use plan::tick;
pub use probes::{ask_again, note_report, suspect, watch_heads};
pub use record::{WriteOutcome, note_no_record, note_record, note_write};
