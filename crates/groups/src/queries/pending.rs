//! Orders that hosts have yet to carry out to match the record.

use std::net::SocketAddr;

use base::prelude::*;

use super::health::assignment_of;
use super::plan::PlanView;
use crate::{
    FabricRecord, GroupOrder, GroupRecord, HostOrder, HostReport, MemberPhase, MemberRecord,
    StandbyRecord,
};

/// Order that a host has not carried out yet.
pub(crate) struct PendingOrder {
    pub host: HostName,
    pub address: SocketAddr,
    pub order: HostOrder,
    /// Whether the host has to load weights.
    pub loads: bool,
}

/// Pending orders: first those to leave a group, then joins by group, then standbys.
///
/// Groups with the fewest absent members go first, then those that need the fewest
/// loads, then those with the highest downtime weight.
pub(crate) fn pending_orders(view: &PlanView, record: &FabricRecord) -> Vec<PendingOrder> {
    let mut batches: Vec<_> = record
        .groups
        .iter()
        .map(|group| group_batch(view, record, group))
        .collect();
    batches.sort_by_key(|batch| batch.sort_key);
    let joins = batches.into_iter().flat_map(|batch| batch.orders);
    let standbys = record.standbys.iter();
    let standbys = standbys.filter_map(|standby| standby_order(view, record, standby));
    idle_orders(view, record)
        .into_iter()
        .chain(joins)
        .chain(standbys)
        .collect()
}

struct GroupBatch {
    /// Absent members, loads needed, and one minus the downtime weight in thousandths.
    sort_key: (usize, usize, u32),
    orders: Vec<PendingOrder>,
}

fn group_batch(view: &PlanView, record: &FabricRecord, group: &GroupRecord) -> GroupBatch {
    let absent = group
        .members
        .iter()
        .filter(|member| !is_present(view, member));
    let orders: Vec<_> = (0..group.members.len())
        .filter_map(|rank| join_order(view, record, group, rank))
        .collect();
    let loads = orders.iter().filter(|order| order.loads).count();
    let weight = view.weight(&group.deployment);
    GroupBatch {
        sort_key: (absent.count(), loads, ((1.0 - weight) * 1000.0) as u32),
        orders,
    }
}

fn is_present(view: &PlanView, member: &MemberRecord) -> bool {
    let report = view.report(&member.host);
    report.is_some_and(|report| report.incarnation == member.incarnation)
}

fn join_order(
    view: &PlanView,
    record: &FabricRecord,
    group: &GroupRecord,
    rank: usize,
) -> Option<PendingOrder> {
    let member = &group.members[rank];
    let report = view.report(&member.host)?;
    let assignment = assignment_of(group, rank);
    let joined = report.assignment.as_ref() == Some(&assignment);
    if report.incarnation != member.incarnation || joined {
        return None;
    }
    let order = GroupOrder {
        group: group.group.clone(),
        deployment: group.deployment.clone(),
        model: group.model.clone(),
        epoch: group.epoch,
        rank,
        members: group.members.clone(),
        incarnation: member.incarnation,
        token: record.token,
    };
    Some(PendingOrder {
        host: member.host.clone(),
        address: member.address,
        loads: report.model.as_ref() != Some(&group.model),
        order: HostOrder::Join(order),
    })
}

fn standby_order(
    view: &PlanView,
    record: &FabricRecord,
    standby: &StandbyRecord,
) -> Option<PendingOrder> {
    let member = &standby.member;
    let report = view.report(&member.host)?;
    let model = &view.desired_groups.get(&standby.deployment)?.spec.model;
    let loaded = report.model.as_ref() == Some(model) && report.phase != MemberPhase::Idle;
    if report.incarnation != member.incarnation || report.assignment.is_some() || loaded {
        return None;
    }
    Some(PendingOrder {
        host: member.host.clone(),
        address: member.address,
        order: HostOrder::Standby {
            model: model.clone(),
            incarnation: member.incarnation,
            token: record.token,
        },
        loads: report.model.as_ref() != Some(model),
    })
}

/// Orders to hosts that report a group of which they are not a recorded member.
fn idle_orders(view: &PlanView, record: &FabricRecord) -> Vec<PendingOrder> {
    let members = record.member_hosts();
    view.hosts
        .values()
        .filter(|entry| !members.contains(&entry.host))
        .filter_map(|entry| Some((entry, view.report(&entry.host)?)))
        .filter(|(_, report)| claims_group(record, report))
        .map(|(entry, report)| PendingOrder {
            host: entry.host.clone(),
            address: entry.address,
            order: HostOrder::Idle {
                incarnation: report.incarnation,
                token: record.token,
            },
            loads: false,
        })
        .collect()
}

/// Whether the host reports a group of this fabric domain.
///
/// The name of a group starts with the name of its fabric domain and a dot.
fn claims_group(record: &FabricRecord, report: &HostReport) -> bool {
    let Some(assignment) = &report.assignment else {
        return false;
    };
    let name = assignment.group.as_str();
    let fabric = record.fabric.as_str();
    name.strip_prefix(fabric)
        .is_some_and(|rest| rest.starts_with('.'))
}
