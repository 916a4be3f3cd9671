//! Commands that change the announcements and the turns.

mod cold;
mod limits;
mod presence;
mod reports;
mod turns;

pub use cold::{hold_cold, record_cold_skips, set_cold, take_cold_skips};
pub use limits::{expire, merge_report, record_limit};
pub use presence::{merge_leaving, record_notice};
pub use reports::take_reports;
pub use turns::{set_share, take_turn};
