//! What a section defines and what it refers to.

use std::fmt;

use base::prelude::*;

use crate::{Configuration, KeyDigest, SectionDigest, TextPosition};

/// Name that a section can define.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DefinedName {
    /// Deployment.
    Deployment(DeploymentName),
    /// Service.
    Service(ServiceName),
    /// Workspace.
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

/// Key of a caller and where it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyEntry {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Holder of the key.
    pub caller: CallerName,
    /// Where the digest is written.
    pub place: TextPosition,
}

/// Names and keys of a section, with their places.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SectionOutline {
    /// Names it defines.
    pub definitions: Vec<(DefinedName, TextPosition)>,
    /// Names it refers to.
    pub references: Vec<(DefinedName, TextPosition)>,
    /// Keys of its callers.
    pub keys: Vec<KeyEntry>,
}

impl SectionOutline {
    /// Whether the section defines a name.
    pub fn defines(&self, name: &DefinedName) -> bool {
        self.definitions.iter().any(|(defined, _)| defined == name)
    }
}

/// Section that was parsed without fault.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedSection {
    /// Digest of its text.
    pub digest: SectionDigest,
    /// Its text.
    pub text: Arc<str>,
    /// What it adds to the configuration.
    pub configuration: Configuration,
    /// Names and keys, with their places.
    pub outline: SectionOutline,
}
