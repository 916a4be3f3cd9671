//! Faults of a document and of its sections.

use base::prelude::*;

use crate::{DefinedName, TextPosition};

/// Fault in a section; the message says how to correct it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// The text is no valid YAML, or its structure is not that of a section.
    #[error("{message}")]
    Syntax {
        /// Message of the parser.
        message: String,
    },
    /// The document's entry for the section can't be decoded.
    #[error("the section can't be decoded: {reason}: write it again with 'bronzerun section put'")]
    Unreadable {
        /// Message of the decoder.
        reason: Arc<str>,
    },
    /// A service has neither or both of 'deployment' and 'plain'.
    #[error("service '{service}' must have exactly one of 'deployment' and 'plain'")]
    ServiceKind {
        /// Name of the service.
        service: ServiceName,
    },
    /// An entry of 'non_idempotent' is not a method and a path.
    #[error("'{text}' is not a method and a path: write for example 'POST /charges'")]
    MethodPath {
        /// Entry as written.
        text: String,
    },
    /// A key digest is not a SHA-256 in hexadecimal.
    #[error("'key_sha256' must be 64 hexadecimal digits: create a key with 'bronzerun key new'")]
    KeyDigest,
    /// Two callers have the same API key.
    #[error(
        "caller '{caller}' of workspace '{workspace}' already has this key: use a different key for each caller"
    )]
    KeyShared {
        /// Workspace of the other caller.
        workspace: WorkspaceName,
        /// The other caller.
        caller: CallerName,
    },
    /// A number is outside its allowed range.
    #[error("'{field}' is {found}: write a number from {min} to {max}")]
    Range {
        /// Name of the field.
        field: &'static str,
        /// Number as written.
        found: String,
        /// Lowest number allowed.
        min: String,
        /// Highest number allowed.
        max: String,
    },
    /// The section refers to a name that no section defines.
    #[error("{name} is not defined in any section: define it or correct the name")]
    Undefined {
        /// Name without a definition.
        name: DefinedName,
    },
    /// Another section defines the same name.
    #[error("{name} is already defined in section '{section}': choose another name")]
    Redefined {
        /// Name defined twice.
        name: DefinedName,
        /// Section with the other definition.
        section: SectionName,
    },
    /// A definition was removed while another section refers to it.
    #[error("{name} is still used in section '{section}' at {position}: change that section first")]
    StillUsed {
        /// Name whose definition was removed.
        name: DefinedName,
        /// Section that refers to it.
        section: SectionName,
        /// Position of the reference.
        position: TextPosition,
    },
}

/// The JSON of a stored object as a whole can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the document can't be decoded: {reason}: write it with 'bronzerun section put' only")]
pub struct DecodeError {
    /// Message of the decoder.
    pub reason: String,
}
