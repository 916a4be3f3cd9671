//! Queries that only read the state of the quarantine.

mod share;
mod verdict;

pub use share::{
    EvidenceCursor, PeerEvidence, evidence_hash, fresh_evidence, has_fresh_evidence, next_evidence,
    watched_evidence,
};
pub(crate) use share::{is_watched, reports_hash};
pub use verdict::{blocking_verdict, find_verdicts, is_call_blocked, may_resend};
