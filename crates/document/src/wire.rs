//! YAML form of a section.

use base::prelude::*;
use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::entries::Entries;

/// Section as written in YAML.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SectionWire {
    pub deployments: Entries<DeploymentName, DeploymentWire>,
    pub services: Entries<ServiceName, ServiceWire>,
    pub workspaces: Entries<WorkspaceName, WorkspaceWire>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentWire {
    pub model: ModelName,
    pub group_size: Spanned<usize>,
    pub groups: Spanned<usize>,
    pub downtime_weight: Option<Spanned<f64>>,
    #[serde(default)]
    pub checks_fencing: bool,
    pub stream_limit: Option<Spanned<usize>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceWire {
    pub deployment: Option<Spanned<DeploymentName>>,
    pub plain: Option<PlainWire>,
    pub timeout_ms: Option<Spanned<usize>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainWire {
    #[serde(default)]
    pub non_idempotent: Vec<Spanned<String>>,
    pub call_limit: Option<Spanned<usize>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceWire {
    pub share: Option<Spanned<usize>>,
    pub call_limit: Option<Spanned<usize>>,
    pub services: Vec<Spanned<ServiceName>>,
    #[serde(default)]
    pub callers: Entries<CallerName, CallerWire>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerWire {
    pub key_sha256: Spanned<String>,
}
