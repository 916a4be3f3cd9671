//! Queries that only read the planner's state.

mod deadline;
mod expiry;
mod fabric_index;
mod group_health;
mod home_models;
mod selection;
mod serving;
mod silence;
mod staging;

pub use deadline::next_deadline;
pub use expiry::{is_expiry_likely, next_expiry};
pub use fabric_index::FabricIndex;
pub use group_health::{
    GroupHealth, group_health, has_displaced_member, is_list_outdated, is_member, is_usable,
};
pub use home_models::{FabricInventory, HomeModels, fabric_inventories, home_models};
pub use selection::{GroupSelection, select_group};
pub use serving::{ServingGroup, lost_heads, serving_groups};
pub(crate) use silence::ANSWER_TIMEOUT;
pub use silence::{is_silence_common, witnesses};
pub use staging::plan_staging;
