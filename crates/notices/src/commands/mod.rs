//! Commands that change the announcements and the turns.

mod limits;
mod turns;

pub use limits::{expire, merge_report, record_limit};
pub use turns::{set_share, take_turn};
