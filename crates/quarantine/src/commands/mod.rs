//! Commands that change the state of the quarantine.

mod calls;
mod merge;

pub use calls::{finish_call, record_answer, record_crash, start_call};
pub use merge::{expire, merge_evidence};
