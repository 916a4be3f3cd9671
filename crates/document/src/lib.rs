//! The shared configuration document.
//!
//! The document is a set of sections, each a YAML text with one owner. Parsing
//! turns the texts into one [`Configuration`]; `commands` change a document,
//! `queries` read one. Nothing here knows where the document is kept.

mod error;
mod model;
mod parse;
mod wire;

pub use error::DocumentError;
pub use model::{
    CallerEntry, Configuration, DeploymentSpec, KeyDigest, MethodPath, PlainSpec, ServiceKind,
    ServiceSpec, WorkspaceSpec,
};
pub use parse::parse_section;
