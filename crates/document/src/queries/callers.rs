//! Which caller a key belongs to.

use base::prelude::*;

use crate::{Configuration, KeyDigest};

impl Configuration {
    /// Workspace and caller that a key belongs to.
    pub fn find_caller(&self, digest: KeyDigest) -> Option<(&WorkspaceName, &CallerName)> {
        self.workspaces.iter().find_map(|(workspace, spec)| {
            let entry = spec.callers.iter().find(|entry| entry.digest == digest)?;
            Some((workspace, &entry.caller))
        })
    }
}
