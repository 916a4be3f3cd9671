//! The shared configuration document.
//!
//! The document is a set of sections, each a YAML text owned by one team.
//! Parsing the sections yields one [`Configuration`]. `commands` change a
//! document or the state of a process, `queries` read them. The crate does no
//! I/O and is independent of the store that holds the document.

mod callers;
mod convert;
mod digest;
mod document;
mod document_wire;
mod effective_config;
mod entries;
mod error;
mod fault;
mod good_wire;
mod model;
mod outline;
mod parse;
mod range;
mod state;
mod wire;

pub mod commands;
pub mod queries;

pub use callers::CallerIndex;
pub use digest::{KeyDigest, SectionDigest};
pub use document::{Document, EDIT_LIMIT, EditRecord, Section, UnreadableSection};
pub use document_wire::DocumentWire;
pub use effective_config::{EffectiveConfig, GoodSection, GoodSections, RejectedSection};
pub use error::{DecodeError, DocumentError};
pub use fault::{SectionFault, TextPosition};
pub use good_wire::GoodSectionsWire;
pub use model::{
    CallerEntry, Configuration, DeploymentSpec, MethodPath, PlainSpec, ServiceKind, ServiceSpec,
    WorkspaceSpec,
};
pub use outline::{DefinedName, KeyEntry, ParsedSection, SectionOutline};
pub use parse::{parse_configuration, parse_section};
pub use state::{ConfigInForce, ConfigState};
