//! Commands that change the planner's state.

mod claim;
mod evacuated;
mod list;
mod orders;
mod placement;
mod plan;
mod probes;
mod record;
mod restore;
mod restored_list;

pub use claim::{begin_ownership, claim};
pub use evacuated::set_evacuated;
pub use list::{ListChange, change_list, expire_endpoints, record_leaving, replace_list};
pub use orders::record_order_outcome;
pub use placement::{MoveStep, plan_placement, record_demand};
pub use plan::{probe, tick};
pub use probes::{
    forget_probes, probe_group, probe_heads_often, record_probe_outcome, retry_probe, spread_probes,
};
pub use record::{WriteOutcome, record_missing, record_write_outcome, update_record};
pub use restore::restore_recorded_members;
pub use restored_list::{RestoreTimes, replace_restored_list};
