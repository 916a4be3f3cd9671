//! Commands that change a document or the configuration state of a process.

mod accept;
mod edit_section;
mod learn_good;
mod merge_good;
mod raise_floor;

pub use accept::{AcceptOutcome, accept};
pub use edit_section::{EditOutcome, SectionEdit, edit_section};
pub use learn_good::learn_good;
pub use merge_good::merge_good;
pub use raise_floor::raise_floor;
