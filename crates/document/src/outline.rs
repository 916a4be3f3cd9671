//! Names that a section defines and refers to, and the API keys in it.

use std::fmt;

use base::prelude::*;

use crate::{Configuration, KeyDigest, SectionDigest, TextPosition};

/// Name of an object that a section can define.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DefinedName {
    /// Name of a deployment.
    Deployment(DeploymentName),
    /// Name of a service.
    Service(ServiceName),
    /// Name of a workspace.
    Workspace(WorkspaceName),
}

impl fmt::Display for DefinedName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deployment(name) => write!(f, "deployment '{name}'"),
            Self::Service(name) => write!(f, "service '{name}'"),
            Self::Workspace(name) => write!(f, "workspace '{name}'"),
        }
    }
}

/// API key of a caller and its position in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyEntry {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Caller that the key belongs to.
    pub caller: CallerName,
    /// Position of the digest in the section's text.
    pub position: TextPosition,
}

/// Names and keys of a section with their positions in the text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SectionOutline {
    /// Names that the section defines.
    pub definitions: Vec<(DefinedName, TextPosition)>,
    /// Names that the section refers to.
    pub references: Vec<(DefinedName, TextPosition)>,
    /// API keys of the section's callers.
    pub keys: Vec<KeyEntry>,
}

impl SectionOutline {
    /// Whether the section defines a name.
    pub fn defines(&self, name: &DefinedName) -> bool {
        self.definitions.iter().any(|(defined, _)| defined == name)
    }
}

/// Section that parsed without faults.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedSection {
    /// Digest of the text.
    pub digest: SectionDigest,
    /// YAML source.
    pub text: Arc<str>,
    /// Part of the configuration that the section defines.
    pub configuration: Configuration,
    /// Names and keys with their positions.
    pub outline: SectionOutline,
}
