//! Commands that change the announcements and the turns.

mod limits;
mod presence;
mod reports;
mod turns;

pub use limits::{expire, merge_report, record_limit};
pub use presence::{merge_leaving, record_notice};
pub use reports::take_reports;
pub use turns::{set_share, take_turn};
