//! Lookup of callers by the digests of their API keys.

use std::collections::HashMap;

use base::prelude::*;

use crate::{Configuration, KeyDigest};

/// Workspaces and callers by the digest of the caller's API key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerIndex(HashMap<KeyDigest, (WorkspaceName, CallerName)>);

impl CallerIndex {
    /// Indexes the callers of all workspaces of a configuration.
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

    /// Workspace and caller that a key belongs to; `None` if the key is unknown.
    pub fn find(&self, digest: KeyDigest) -> Option<(&WorkspaceName, &CallerName)> {
        let (workspace, caller) = self.0.get(&digest)?;
        Some((workspace, caller))
    }
}
