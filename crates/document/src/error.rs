//! What can be wrong with a document.

use base::prelude::*;

/// Fault in a section, with what to write instead.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// The text is not YAML of the section's form.
    #[error("{message}")]
    Syntax {
        /// What the parser found, with line and column.
        message: String,
    },
    /// A service names neither or both kinds.
    #[error("service '{service}' must have either 'deployment' or 'plain', and not both")]
    ServiceKind {
        /// Service at fault.
        service: ServiceName,
    },
    /// A call is not a method and a path.
    #[error("'{text}' is not a call: write a method and a path, such as 'POST /charges'")]
    MethodPath {
        /// Text at fault.
        text: String,
    },
    /// A key digest is not SHA-256 in hexadecimal.
    #[error("'key_sha256' of caller '{caller}' must be 64 hexadecimal digits: see 'bronzerun key'")]
    KeyDigest {
        /// Caller at fault.
        caller: CallerName,
    },
}
