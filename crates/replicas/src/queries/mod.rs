//! Looks at the planner's state.

mod deadline;
mod pool;
mod serving;
mod staging;
mod survey;
mod target;
mod verdict;

pub use deadline::next_deadline;
pub use pool::{GroupPick, pick_group};
pub use serving::{ServingGroup, serving_groups};
pub use staging::plan_staging;
pub use survey::DomainSurvey;
pub use target::{FabricInventory, HomeTable, fabric_inventories, home_models};
pub use verdict::{Verdict, has_strayed, is_member, is_usable, verdict};
