//! Commands that change a document or the configuration state of a process.

mod accept;
mod apply_last_good;
mod edit_section;
mod merge_last_good;
mod raise_floor;

pub use accept::{AcceptOutcome, accept};
pub use apply_last_good::apply_last_good;
pub use edit_section::{EditOutcome, SectionEdit, edit_section};
pub use merge_last_good::merge_last_good;
pub use raise_floor::raise_floor;
