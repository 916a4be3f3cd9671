//! Names as shared immutable strings, with one type for each kind of name.
//!
//! Cloning a name copies a pointer, so state, events and effects can share names
//! without copying text.
//!
//! Names that are chosen in the project's own interface are checked for their
//! length and characters. Other systems have rules of their own for the names
//! that they give; such a name is taken as it is.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 128;
/// Maximum length of a name that another system gave; nodes name many of them to one another.
const MAX_EXTERNAL_BYTES: usize = 1_024;

/// Error for a text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The text is empty.
    #[error("a name is empty: give it at least one character")]
    Empty,
    /// The text exceeds the maximum length.
    #[error("the name is {length} bytes long: shorten it to {limit} or fewer")]
    Long {
        /// Length in bytes.
        length: usize,
        /// Maximum length.
        limit: usize,
    },
    /// The text contains a character that is not allowed.
    #[error("the name has {found:?} in it: use letters, digits, '.', '_', ':' and '-' only")]
    Character {
        /// First character that is not allowed.
        found: char,
    },
}

fn check_length(text: &str, limit: usize) -> Result<(), NameError> {
    match text.len() {
        0 => Err(NameError::Empty),
        length if length > limit => Err(NameError::Long { length, limit }),
        _ => Ok(()),
    }
}

fn check_name(text: &str) -> Result<(), NameError> {
    check_length(text, MAX_NAME_BYTES)?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
    match text.chars().find(|&c| !is_allowed(c)) {
        Some(found) => Err(NameError::Character { found }),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name after checking its length and characters.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Creates a name that another system gave; it may hold any characters.
            pub fn external(text: &str) -> Result<Self, NameError> {
                check_length(text, MAX_EXTERNAL_BYTES)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($name), self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    )*};
}

names! {
    /// Machine that runs a model engine or a plain service.
    HostName;
    /// Fabric domain: hosts connected by one fast network.
    FabricName;
    /// Failure domain.
    DomainName;
    /// Region, a set of failure domains.
    RegionName;
    /// Entry host of the system itself.
    NodeName;
    /// Replica group.
    GroupName;
    /// Model, adapter and version that an engine loads.
    ModelName;
    /// Replica groups of one model that are managed together.
    DeploymentName;
    /// Service: the name under which callers reach a deployment or plain servers.
    ServiceName;
    /// Workspace (tenant).
    WorkspaceName;
    /// Holder of an API key within a workspace.
    CallerName;
    /// Section of the shared configuration document.
    SectionName;
    /// Team that owns a section.
    TeamName;
    /// Idempotency key of a request, chosen by the caller.
    IdempotencyKey;
}
