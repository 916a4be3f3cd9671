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
    GroupFault, GroupHealth, GroupReadiness, MemberFault, ReportTable, check_group, check_groups,
    leaving_members,
};
pub use spread::{FabricSummary, GroupSpread, spread_groups};
pub use stranded::stranded_hosts;
