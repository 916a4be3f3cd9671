//! The configuration that the sections of a document make up.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::KeyDigest;

/// Deployments, services and workspaces that operators have declared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Deployments by name.
    pub deployments: BTreeMap<DeploymentName, DeploymentSpec>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, WorkspaceSpec>,
}

/// Desired replica groups of one model.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentSpec {
    /// Model that every member of a group loads.
    pub model: ModelName,
    /// Number of hosts in each group.
    pub group_size: usize,
    /// Desired number of groups.
    pub group_count: usize,
    /// Weight of group downtime against stranded accelerators, from 0 to 1.
    pub downtime_weight: f64,
    /// Whether the engines reject an order whose fencing token is outdated.
    pub checks_fencing: bool,
    /// Maximum number of streams that one group runs concurrently.
    pub stream_limit: usize,
}

/// Service that callers send requests to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Kind of the endpoints that handle the service's calls.
    pub kind: ServiceKind,
    /// Longest duration of a call whose caller sets no deadline.
    pub timeout: Duration,
}

/// Kind of the endpoints that handle the calls of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceKind {
    /// Replica groups of this deployment.
    Model(DeploymentName),
    /// Servers that are not replica groups.
    Plain(PlainSpec),
}

/// Settings of a service that plain servers handle.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainSpec {
    /// Non-idempotent calls, which must not be executed twice.
    pub non_idempotent: Vec<MethodPath>,
    /// Maximum number of calls that one server runs concurrently.
    pub call_limit: usize,
}

/// Method and path prefix of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MethodPath {
    /// HTTP method.
    pub method: Arc<str>,
    /// Prefix of the request path.
    pub path: Arc<str>,
}

/// Share, limits and callers of a workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceSpec {
    /// Weight of the workspace in fair sharing.
    pub share: u32,
    /// Maximum number of calls that the workspace may have in progress on one node.
    pub call_limit: usize,
    /// Services that the workspace may call.
    pub services: Vec<ServiceName>,
    /// Callers of the workspace, each with its own API key.
    pub callers: Vec<CallerEntry>,
}

/// Caller and the digest of its API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerEntry {
    /// Caller's name.
    pub caller: CallerName,
    /// Digest of the caller's API key.
    pub digest: KeyDigest,
}
