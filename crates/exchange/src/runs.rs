//! Attempts of a request that may have run.

/// Attempts of a request without a proof that they were not run, the open ones included.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    pub(crate) unproven: Vec<u32>,
}
