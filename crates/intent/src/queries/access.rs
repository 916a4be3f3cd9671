//! Whether a request may use a route.

use crate::{Route, RoutingConfig, Workspace};

/// Outcome of the check of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AccessOutcome<'a> {
    /// The key's workspace.
    Workspace(&'a Workspace),
    /// The route needs no key, and none that is known was given.
    Public,
    /// The key is missing or unknown.
    Denied,
}

/// Finds the workspace that holds a request's key.
pub fn check_access<'a>(
    intent: &'a RoutingConfig,
    route: &Route,
    key: Option<&str>,
) -> AccessOutcome<'a> {
    let Some(workspaces) = &intent.workspaces else {
        return AccessOutcome::Public;
    };
    match key.and_then(|key| workspaces.get(key)) {
        Some(workspace) => AccessOutcome::Workspace(workspace),
        None if route.is_public => AccessOutcome::Public,
        None => AccessOutcome::Denied,
    }
}
