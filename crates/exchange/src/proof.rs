//! What is known about whether a request was run.

/// Proof that a request was not run and never will be.
///
/// It comes from a request of which nothing was sent, from an answer of the request's own that
/// reports it, or from a [`crate::RunRecord`] whose attempts all have one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunProof(());

impl NotRunProof {
    pub(crate) fn new() -> Self {
        Self(())
    }
}

/// Whether it is certain that a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunCertainty {
    /// It was not run and never will be.
    NotRun(NotRunProof),
    /// It may have run, or may still run.
    MayHaveRun,
}
