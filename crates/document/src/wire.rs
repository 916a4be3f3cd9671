//! YAML form of a section.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::Deserialize;

use crate::{
    CallerEntry, Configuration, DeploymentSpec, DocumentError, KeyDigest, MethodPath, PlainSpec,
    ServiceKind, ServiceSpec, WorkspaceSpec,
};

const DEFAULT_DOWNTIME_WEIGHT: f64 = 0.5;
const DEFAULT_STREAM_LIMIT: usize = 32;
const DEFAULT_CALL_LIMIT: usize = 64;
const DEFAULT_SHARE: u32 = 1;

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SectionWire {
    deployments: BTreeMap<DeploymentName, DeploymentWire>,
    services: BTreeMap<ServiceName, ServiceWire>,
    workspaces: BTreeMap<WorkspaceName, WorkspaceWire>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DeploymentWire {
    model: ModelName,
    group_size: usize,
    groups: usize,
    downtime_weight: Option<f64>,
    #[serde(default)]
    checks_fencing: bool,
    stream_limit: Option<usize>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceWire {
    deployment: Option<DeploymentName>,
    plain: Option<PlainWire>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlainWire {
    #[serde(default)]
    non_idempotent: Vec<String>,
    call_limit: Option<usize>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkspaceWire {
    share: Option<u32>,
    call_limit: Option<usize>,
    services: Vec<ServiceName>,
    #[serde(default)]
    callers: BTreeMap<CallerName, CallerWire>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CallerWire {
    key_sha256: String,
}

impl TryFrom<SectionWire> for Configuration {
    type Error = DocumentError;

    fn try_from(wire: SectionWire) -> Result<Self, DocumentError> {
        let mut configuration = Self::default();
        for (name, deployment) in wire.deployments {
            configuration.deployments.insert(name, deployment.into());
        }
        for (name, service) in wire.services {
            let spec = ServiceSpec::try_from((&name, service))?;
            configuration.services.insert(name, spec);
        }
        for (name, workspace) in wire.workspaces {
            let spec = WorkspaceSpec::try_from(workspace)?;
            configuration.workspaces.insert(name, spec);
        }
        Ok(configuration)
    }
}

impl From<DeploymentWire> for DeploymentSpec {
    fn from(wire: DeploymentWire) -> Self {
        Self {
            model: wire.model,
            group_size: wire.group_size,
            group_count: wire.groups,
            downtime_weight: wire.downtime_weight.unwrap_or(DEFAULT_DOWNTIME_WEIGHT),
            checks_fencing: wire.checks_fencing,
            stream_limit: wire.stream_limit.unwrap_or(DEFAULT_STREAM_LIMIT),
        }
    }
}

impl TryFrom<(&ServiceName, ServiceWire)> for ServiceSpec {
    type Error = DocumentError;

    fn try_from((name, wire): (&ServiceName, ServiceWire)) -> Result<Self, DocumentError> {
        let kind = match (wire.deployment, wire.plain) {
            (Some(deployment), None) => ServiceKind::Model(deployment),
            (None, Some(plain)) => ServiceKind::Plain(plain.try_into()?),
            _ => {
                return Err(DocumentError::ServiceKind {
                    service: name.clone(),
                });
            }
        };
        Ok(Self { kind })
    }
}

impl TryFrom<PlainWire> for PlainSpec {
    type Error = DocumentError;

    fn try_from(wire: PlainWire) -> Result<Self, DocumentError> {
        let calls = wire.non_idempotent.iter().map(|text| parse_call(text));
        Ok(Self {
            non_idempotent: calls.collect::<Result<_, _>>()?,
            call_limit: wire.call_limit.unwrap_or(DEFAULT_CALL_LIMIT),
        })
    }
}

fn parse_call(text: &str) -> Result<MethodPath, DocumentError> {
    match text.split_once(' ') {
        Some((method, path)) if path.starts_with('/') => Ok(MethodPath {
            method: Arc::from(method),
            path: Arc::from(path),
        }),
        _ => Err(DocumentError::MethodPath {
            text: text.to_owned(),
        }),
    }
}

impl TryFrom<WorkspaceWire> for WorkspaceSpec {
    type Error = DocumentError;

    fn try_from(wire: WorkspaceWire) -> Result<Self, DocumentError> {
        let entries = wire.callers.into_iter().map(|(caller, entry)| {
            let digest =
                parse_digest(&entry.key_sha256).ok_or_else(|| DocumentError::KeyDigest {
                    caller: caller.clone(),
                })?;
            Ok(CallerEntry { caller, digest })
        });
        Ok(Self {
            share: wire.share.unwrap_or(DEFAULT_SHARE),
            call_limit: wire.call_limit.unwrap_or(DEFAULT_CALL_LIMIT),
            services: wire.services,
            callers: entries.collect::<Result<_, DocumentError>>()?,
        })
    }
}

fn parse_digest(text: &str) -> Option<KeyDigest> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(KeyDigest(bytes))
}
