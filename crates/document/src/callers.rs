//! Index of callers by the digests of their keys.

use std::collections::HashMap;

use base::prelude::*;

use crate::{Configuration, KeyDigest};

/// Callers by the digests of their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerIndex(HashMap<KeyDigest, (WorkspaceName, CallerName)>);

impl CallerIndex {
    /// Index of a configuration's callers.
    pub fn new(configuration: &Configuration) -> Self {
        let mut callers = HashMap::new();
        for (workspace, spec) in &configuration.workspaces {
            for entry in &spec.callers {
                let caller = (workspace.clone(), entry.caller.clone());
                callers.insert(entry.digest, caller);
            }
        }
        Self(callers)
    }

    /// Workspace and caller that a key belongs to.
    pub fn find(&self, digest: KeyDigest) -> Option<(&WorkspaceName, &CallerName)> {
        let (workspace, caller) = self.0.get(&digest)?;
        Some((workspace, caller))
    }
}
