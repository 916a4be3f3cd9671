//! Questions about groups; none of them changes anything.

mod deadline;
mod health;
pub(crate) mod plan;
mod reserve;
pub(crate) mod slow;
mod spread;
mod stranded;
pub(crate) mod wanted;

pub use health::{
    GroupFault, GroupHealth, GroupReadiness, MemberFault, ReportTable, check_group, check_groups,
    leaving_members,
};
pub use spread::{FabricSummary, GroupSpread, spread_groups};
pub use stranded::stranded_hosts;
