//! Commands that change the state of a node's reach.

mod pass;
mod trials;

pub use pass::exclude_node;
pub use trials::{record_response, record_trouble, repeat_trial, start_trial};
