//! Start marks and recorded outcomes of non-idempotent calls.
