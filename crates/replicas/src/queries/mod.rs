//! Queries that only read the planner's state.

mod capacity;
mod deadline;
mod expiry;
mod fabric_index;
mod group_health;
mod home_models;
mod placement;
mod selection;
mod serving;
mod silence;
mod staging;
mod supply;

pub use deadline::next_deadline;
pub use expiry::{is_expiry_likely, next_expiry};
pub use fabric_index::FabricIndex;
pub use group_health::{
    GroupHealth, group_health, has_displaced_member, is_list_outdated, is_member, is_usable,
};
pub use home_models::{FabricInventory, HomeModels, fabric_inventories, home_models};
pub use placement::{
    DomainSupply, LoadCeiling, ModelSupply, PLACEMENT_HORIZON, PlacementInput, PreviousMove,
    choose_loan, choose_move, is_in_need, is_short, is_spared,
};
pub use selection::{GroupSelection, select_group};
pub use serving::{ServingGroup, lost_heads, serving_groups};
pub(crate) use silence::ANSWER_TIMEOUT;
pub use silence::{is_silence_common, witnesses};
pub use staging::plan_staging;
pub use supply::model_figures;
pub(crate) use supply::placement_input;
