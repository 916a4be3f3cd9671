//! Decisions over values.

mod admit;
mod demand;
mod retry;
mod room;
mod shares;

pub use admit::{admit, is_hopeless};
pub use demand::demand;
pub use room::may_resume;
