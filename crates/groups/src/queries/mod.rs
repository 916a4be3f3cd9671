//! Read-only queries about groups.

mod deadline;
mod health;
pub(crate) mod pending;
pub(crate) mod plan;
mod reserve;
pub(crate) mod slow;
mod spread;
mod stranded;

pub use health::{
    GroupFault, GroupHealth, GroupVerdict, MemberFault, ReportTable, explain_group,
    leaving_members, serving_groups,
};
pub use spread::{FabricShape, GroupSpread, spread_groups};
pub use stranded::stranded_hosts;
