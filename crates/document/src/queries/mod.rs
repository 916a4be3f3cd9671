//! Queries on a document and on the configuration in force.

mod attribution;
mod calls;
mod candidate;
mod cross_section_faults;
mod effective_config;
mod find_edit;
mod in_force;
mod section_digests;

pub use cross_section_faults::{
    CrossSectionFault, SectionOutlines, SectionPosition, cross_section_faults,
};
pub use effective_config::effective_config;
pub use find_edit::{EditLookup, find_edit};
pub use in_force::{in_force, is_newest, is_resolved, was_ever_resolved};
pub use section_digests::section_digests;
