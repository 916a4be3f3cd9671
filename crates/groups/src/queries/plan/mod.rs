//! Computation of the next record of a fabric domain.
//!
//! `view` contains the inputs of the plan, `pool` the free hosts, and `surplus`
//! finds groups that are no longer wanted. The steps run in the order of their
//! cost: `close` rebuilds or removes drained groups, `repair` replaces missing
//! members, `drain` prepares the replacement of leaving and slow members and of
//! old models, `dissolve` removes groups that cannot be repaired, `form` adds new
//! groups and `standby` preloads models on the remaining hosts.

mod close;
mod dissolve;
mod drain;
mod form;
mod pool;
mod repair;
mod standby;
mod surplus;
mod view;

pub(crate) use view::PlanView;

use base::prelude::*;

use crate::FabricRecord;
use pool::HostPool;

/// Next record of the fabric domain; equal to the given one if nothing changes.
pub(crate) fn plan_fabric(view: &PlanView, record: &FabricRecord) -> FabricRecord {
    let mut plan = record.clone();
    let mut pool = HostPool::collect(view, record);
    let surplus = surplus::surplus_groups(view, &plan);
    close::close_groups(view, &mut plan, &mut pool, &surplus);
    repair::repair_groups(view, &mut plan, &mut pool);
    drain::drain_groups(view, &mut plan, &mut pool, &surplus);
    dissolve::dissolve_groups(view, &mut plan, &pool);
    form::form_groups(view, &mut plan, &mut pool);
    standby::update_standbys(view, &mut plan, &pool);
    drain::expire_stragglers(view, &mut plan);
    raise_epochs(&mut plan, record);
    plan
}

/// Gives new lists of members epochs that no engine has seen before a restore of the store.
fn raise_epochs(plan: &mut FabricRecord, record: &FabricRecord) {
    let floor = record.era_floor();
    for group in &mut plan.groups {
        let mut known = record.groups.iter();
        let is_known = known.any(|other| other.group == group.group && other.epoch == group.epoch);
        if !is_known && group.epoch.0 <= floor {
            group.epoch = GroupEpoch(floor + group.epoch.0);
        }
    }
}
