//! Queries that only read the state of the quarantine.

mod share;
mod verdict;

pub use share::{evidence_hash, fresh_evidence, last_renewal, watched_evidence};
pub use verdict::{blocking_verdict, find_verdicts, is_call_blocked, may_resend};
