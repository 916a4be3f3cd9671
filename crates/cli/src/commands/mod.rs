//! Changes: each is one conditional update, tried again while others get in between.

pub mod drain;
mod keep_good;
pub mod new_key;
pub mod put_section;
