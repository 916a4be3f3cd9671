//! Queries on a document and on the configuration in force.

mod attribution;
mod calls;
mod candidate;
mod cross_faults;
mod effective;
mod find_edit;
mod in_force;
mod section_digests;

pub use cross_faults::{CrossSectionFault, SectionOutlines, SectionPosition, cross_faults};
pub use effective::effective;
pub use find_edit::{EditLookup, find_edit};
pub use in_force::{in_force, is_newest, is_resolved, was_ever_resolved};
pub use section_digests::section_digests;
