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
    GroupFault, GroupHealth, GroupVerdict, MemberFault, ReportTable, explain_group,
    leaving_members, serving_groups,
};
pub use spread::{FabricShape, GroupSpread, spread_groups};
pub use stranded::stranded_hosts;
