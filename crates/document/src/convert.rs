//! Conversion of a section's YAML form to a configuration, with the checks that
//! need no other section.

use base::prelude::*;
use serde_saphyr::Spanned;

use crate::range::FieldRange;
use crate::wire::{DeploymentWire, PlainWire, SectionWire, ServiceWire, WorkspaceWire};
use crate::{
    CallerEntry, Configuration, DefinedName, DeploymentSpec, DocumentError, KeyDigest, KeyEntry,
    MethodPath, PlainSpec, SectionFault, SectionOutline, ServiceKind, ServiceSpec, WorkspaceSpec,
};

const DEFAULT_DOWNTIME_WEIGHT: f64 = 0.5;
const DEFAULT_STREAM_LIMIT: usize = 32;
const DEFAULT_TIMEOUT_MS: usize = 60_000;
const DEFAULT_CALL_LIMIT: usize = 64;
const DEFAULT_SHARE: usize = 1;

const GROUP_SIZE: FieldRange = FieldRange::new("group_size", 1, 64);
const GROUP_COUNT: FieldRange = FieldRange::new("groups", 0, 10_000);
const STREAM_LIMIT: FieldRange = FieldRange::new("stream_limit", 1, 100_000);
const TIMEOUT_MS: FieldRange = FieldRange::new("timeout_ms", 1, 3_600_000);
const CALL_LIMIT: FieldRange = FieldRange::new("call_limit", 1, 100_000);
const SHARE: FieldRange = FieldRange::new("share", 1, 1_000_000);

/// Collects the configuration, the outline and the faults of one section.
#[derive(Default)]
pub struct SectionReader {
    pub configuration: Configuration,
    pub outline: SectionOutline,
    pub faults: Vec<SectionFault>,
}

impl SectionReader {
    pub fn read(&mut self, wire: SectionWire) {
        for (name, deployment) in wire.deployments.0 {
            self.add_definition(DefinedName::Deployment(name.value.clone()), &name);
            let spec = self.read_deployment(deployment);
            self.configuration.deployments.insert(name.value, spec);
        }
        for (name, service) in wire.services.0 {
            self.add_definition(DefinedName::Service(name.value.clone()), &name);
            if let Some(spec) = self.read_service(&name, service) {
                self.configuration.services.insert(name.value, spec);
            }
        }
        for (name, workspace) in wire.workspaces.0 {
            self.add_definition(DefinedName::Workspace(name.value.clone()), &name);
            let spec = self.read_workspace(&name.value, workspace);
            self.configuration.workspaces.insert(name.value, spec);
        }
    }

    fn add_definition<T>(&mut self, name: DefinedName, source: &Spanned<T>) {
        let position = source.referenced.into();
        self.outline.definitions.push((name, position));
    }

    fn add_reference<T>(&mut self, name: DefinedName, source: &Spanned<T>) {
        let position = source.referenced.into();
        self.outline.references.push((name, position));
    }

    fn add_fault<T>(&mut self, source: &Spanned<T>, error: DocumentError) {
        self.faults
            .push(SectionFault::new(source.referenced, error));
    }

    fn check(&mut self, range: FieldRange, number: Spanned<usize>) -> usize {
        if let Err(error) = range.check(number.value) {
            self.add_fault(&number, error);
        }
        number.value
    }

    fn check_or(
        &mut self,
        range: FieldRange,
        number: Option<Spanned<usize>>,
        default: usize,
    ) -> usize {
        number.map_or(default, |number| self.check(range, number))
    }

    fn read_deployment(&mut self, wire: DeploymentWire) -> DeploymentSpec {
        DeploymentSpec {
            model: wire.model,
            group_size: self.check(GROUP_SIZE, wire.group_size),
            group_count: self.check(GROUP_COUNT, wire.groups),
            downtime_weight: self.read_weight(wire.downtime_weight),
            checks_fencing: wire.checks_fencing,
            stream_limit: self.check_or(STREAM_LIMIT, wire.stream_limit, DEFAULT_STREAM_LIMIT),
        }
    }

    fn read_weight(&mut self, weight: Option<Spanned<f64>>) -> f64 {
        let Some(weight) = weight else {
            return DEFAULT_DOWNTIME_WEIGHT;
        };
        if !(0.0..=1.0).contains(&weight.value) {
            let error = DocumentError::Range {
                field: "downtime_weight",
                found: weight.value.to_string(),
                min: "0".to_owned(),
                max: "1".to_owned(),
            };
            self.add_fault(&weight, error);
        }
        weight.value
    }

    fn read_service(
        &mut self,
        name: &Spanned<ServiceName>,
        wire: ServiceWire,
    ) -> Option<ServiceSpec> {
        let timeout_ms = self.check_or(TIMEOUT_MS, wire.timeout_ms, DEFAULT_TIMEOUT_MS);
        let kind = match (wire.deployment, wire.plain) {
            (Some(deployment), None) => {
                let target = DefinedName::Deployment(deployment.value.clone());
                self.add_reference(target, &deployment);
                ServiceKind::Model(deployment.value)
            }
            (None, Some(plain)) => ServiceKind::Plain(self.read_plain(plain)),
            _ => {
                let service = name.value.clone();
                self.add_fault(name, DocumentError::ServiceKind { service });
                return None;
            }
        };
        Some(ServiceSpec {
            kind,
            timeout: Duration::from_millis(timeout_ms as u64),
        })
    }

    fn read_plain(&mut self, wire: PlainWire) -> PlainSpec {
        let mut calls = Vec::new();
        for text in wire.non_idempotent {
            match parse_method_path(&text.value) {
                Some(call) => calls.push(call),
                None => {
                    let entry = text.value.clone();
                    self.add_fault(&text, DocumentError::MethodPath { text: entry });
                }
            }
        }
        PlainSpec {
            non_idempotent: calls,
            call_limit: self.check_or(CALL_LIMIT, wire.call_limit, DEFAULT_CALL_LIMIT),
        }
    }

    fn read_workspace(&mut self, name: &WorkspaceName, wire: WorkspaceWire) -> WorkspaceSpec {
        let mut services = Vec::new();
        for service in wire.services {
            let target = DefinedName::Service(service.value.clone());
            self.add_reference(target, &service);
            services.push(service.value);
        }
        let mut callers = Vec::new();
        for (caller, entry) in wire.callers.0 {
            match KeyDigest::from_hex(&entry.key_sha256.value) {
                None => self.add_fault(&entry.key_sha256, DocumentError::KeyDigest),
                Some(digest) => {
                    self.outline.keys.push(KeyEntry {
                        digest,
                        workspace: name.clone(),
                        caller: caller.value.clone(),
                        position: entry.key_sha256.referenced.into(),
                    });
                    callers.push(CallerEntry {
                        caller: caller.value,
                        digest,
                    });
                }
            }
        }
        let share = self.check_or(SHARE, wire.share, DEFAULT_SHARE);
        WorkspaceSpec {
            share: u32::try_from(share).unwrap_or(u32::MAX),
            call_limit: self.check_or(CALL_LIMIT, wire.call_limit, DEFAULT_CALL_LIMIT),
            services,
            callers,
        }
    }
}

fn parse_method_path(text: &str) -> Option<MethodPath> {
    let (method, path) = text.split_once(' ')?;
    let is_method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
    (is_method && path.starts_with('/') && !path.contains(' ')).then(|| MethodPath {
        method: Arc::from(method),
        path: Arc::from(path),
    })
}
