//! What can be wrong with a document.

use base::prelude::*;

use crate::{DefinedName, TextPosition};

/// Fault in a section, with what to write instead.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// The text is not YAML of the section's form.
    #[error("{message}")]
    Syntax {
        /// What the parser found.
        message: String,
    },
    /// The document's entry for a section has the wrong form.
    #[error("the entry is no section: {reason}: put the section again")]
    Unreadable {
        /// What the decoder found.
        reason: Arc<str>,
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
    #[error("'key_sha256' must be 64 hexadecimal digits: 'bronzerun key new' prints a new one")]
    KeyDigest,
    /// Two callers have the same key.
    #[error(
        "this key already belongs to caller '{caller}' of workspace '{workspace}': give each caller its own"
    )]
    KeyShared {
        /// Workspace of the other caller.
        workspace: WorkspaceName,
        /// The other caller.
        caller: CallerName,
    },
    /// A number is outside its range.
    #[error("'{field}' is {found}: write a number from {least} to {most}")]
    Range {
        /// Field at fault.
        field: &'static str,
        /// Number found.
        found: String,
        /// Least number allowed.
        least: String,
        /// Greatest number allowed.
        most: String,
    },
    /// A name is used that no section defines.
    #[error("{name} is not defined in any section: define it or correct the name")]
    Undefined {
        /// Name without a definition.
        name: DefinedName,
    },
    /// Two sections define the same name.
    #[error("{name} is already defined in section '{section}': choose another name")]
    Redefined {
        /// Name defined twice.
        name: DefinedName,
        /// Section with the other definition.
        section: SectionName,
    },
    /// A definition was taken out while another section uses it.
    #[error("{name} is still used in section '{section}' at {place}: change that section first")]
    StillUsed {
        /// Name taken out.
        name: DefinedName,
        /// Section that uses it.
        section: SectionName,
        /// Where it is used.
        place: TextPosition,
    },
}

/// The document as a whole is not of its form.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the document can't be decoded: {reason}: write it by 'bronzerun section put' only")]
pub struct DecodeError {
    /// What the decoder found.
    pub reason: String,
}
