//! The shared configuration document.
//!
//! The document is a set of sections, each a YAML text with one owner. Parsing
//! turns the texts into one [`Configuration`]; `commands` change a document,
//! `queries` read one. Nothing here knows where the document is kept.

mod convert;
mod digest;
mod document;
mod entries;
mod error;
mod fault;
mod model;
mod outline;
mod parse;
mod range;
mod wire;

pub mod queries;

pub use digest::{KeyDigest, SectionDigest};
pub use document::{Document, EDIT_LIMIT, EditRecord, Section};
pub use error::DocumentError;
pub use fault::{SectionFault, TextPlace};
pub use model::{
    CallerEntry, Configuration, DeploymentSpec, MethodPath, PlainSpec, ServiceKind, ServiceSpec,
    WorkspaceSpec,
};
pub use outline::{DefinedName, KeyEntry, ParsedSection, SectionOutline};
pub use parse::{parse_section, read_section};
