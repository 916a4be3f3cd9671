//! Commands that change the state of the quarantine.

mod calls;
mod changes;
mod merge;
mod own;

pub use calls::{
    finish_call, record_answer, record_crash, record_progress, record_sustained_answer,
    record_whole_answer, start_begun_call, start_call,
};
pub use changes::record_told;
pub use merge::{expire, merge_evidence, renew_suspects};
pub use own::record_sent;
