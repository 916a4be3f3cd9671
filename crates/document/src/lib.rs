//! The shared configuration document.
//!
//! The document is a set of sections, each a YAML text with one owner. Parsing
//! turns the texts into one [`Configuration`]; `commands` change a document,
//! `queries` read one. Nothing here knows where the document is kept.

mod callers;
mod convert;
mod digest;
mod document;
mod effective;
mod entries;
mod error;
mod fault;
mod good_wire;
mod model;
mod outline;
mod parse;
mod range;
mod state;
mod stored;
mod wire;

pub mod commands;
pub mod queries;

pub use callers::CallerIndex;

pub use digest::{KeyDigest, SectionDigest};
pub use document::{Document, EDIT_LIMIT, EditRecord, Section, UnreadableSection};
pub use effective::{EffectiveConfig, GoodSection, GoodSections, RejectedSection};
pub use error::{DecodeError, DocumentError};
pub use fault::{SectionFault, TextPosition};
pub use good_wire::GoodSectionsWire;
pub use model::{
    CallerEntry, Configuration, DeploymentSpec, MethodPath, PlainSpec, ServiceKind, ServiceSpec,
    WorkspaceSpec,
};
pub use outline::{DefinedName, KeyEntry, ParsedSection, SectionOutline};
pub use parse::{parse_section, read_section};
pub use state::{ConfigState, InForce};
pub use stored::DocumentWire;
