//! Access check of a request.

use crate::{Route, RoutingConfig, Workspace};

/// Outcome of an access check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AccessOutcome<'a> {
    /// The key belongs to this workspace.
    Workspace(&'a Workspace),
    /// The request has no known key, and the route needs none.
    Public,
    /// The key is missing or unknown, and the route needs one.
    Denied,
}

/// Finds the workspace of a request's key.
pub fn check_access<'a>(
    config: &'a RoutingConfig,
    route: &Route,
    key: Option<&str>,
) -> AccessOutcome<'a> {
    let Some(workspaces) = &config.workspaces else {
        return AccessOutcome::Public;
    };
    match key.and_then(|key| workspaces.get(key)) {
        Some(workspace) => AccessOutcome::Workspace(workspace),
        None if route.is_public => AccessOutcome::Public,
        None => AccessOutcome::Denied,
    }
}
