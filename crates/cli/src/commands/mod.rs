//! Commands: each makes one conditional update and retries it on conflicts.

pub mod drain;
mod last_good;
pub mod new_key;
pub mod put_section;
