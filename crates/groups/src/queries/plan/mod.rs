//! The record that a fabric domain should have.
//!
//! `view` is what the plan may look at, `pool` the hosts free to be used. The
//! steps run in the order of what they cost: `close` ends drained groups,
//! `repair` fills places of missing members, `planned` exchanges members that
//! leave, are slow or load an old model, `dissolve` breaks up groups that cannot
//! be repaired, `form` makes new ones and `standby` keeps the rest loaded.

mod close;
mod dissolve;
mod form;
mod planned;
mod pool;
mod repair;
mod standby;
mod surplus;
mod view;

pub(crate) use view::PlanView;

use crate::FabricRecord;
use pool::HostPool;

/// Next record of the fabric domain; the same one if nothing is to change.
pub(crate) fn plan_fabric(view: &PlanView, record: &FabricRecord) -> FabricRecord {
    let mut plan = record.clone();
    let mut pool = HostPool::collect(view, record);
    let surplus = surplus::surplus_groups(view, &plan);
    close::close_groups(view, &mut plan, &mut pool, &surplus);
    repair::repair_groups(view, &mut plan, &mut pool);
    planned::drain_groups(view, &mut plan, &mut pool, &surplus);
    dissolve::dissolve_groups(view, &mut plan, &pool);
    form::form_groups(view, &mut plan, &mut pool);
    standby::keep_standbys(view, &mut plan, &pool);
    planned::forgive_stragglers(view, &mut plan);
    plan
}
