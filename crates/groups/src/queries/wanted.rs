//! Orders that would bring the hosts in line with the record.

use std::net::SocketAddr;

use base::prelude::*;

use super::health::assignment_of;
use super::plan::PlanView;
use crate::{
    FabricRecord, GroupOrder, GroupRecord, HostOrder, HostReport, MemberPhase, MemberRecord,
    StandbyRecord,
};

/// Order that a host has not carried out yet.
pub(crate) struct WantedOrder {
    pub host: HostName,
    pub address: SocketAddr,
    pub order: HostOrder,
    /// Whether the host has to load weights for it.
    pub loads: bool,
}

/// Orders not carried out yet, the most useful loads first.
pub(crate) fn wanted_orders(view: &PlanView, record: &FabricRecord) -> Vec<WantedOrder> {
    let mut batches: Vec<_> = record
        .groups
        .iter()
        .map(|group| group_batch(view, record, group))
        .collect();
    batches.sort_by_key(|batch| batch.rank);
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
    /// Members that cannot be ordered, loads needed, weight against them.
    rank: (usize, usize, u32),
    orders: Vec<WantedOrder>,
}

fn group_batch(view: &PlanView, record: &FabricRecord, group: &GroupRecord) -> GroupBatch {
    let absent = group.members.iter().filter(|member| !answers(view, member));
    let orders: Vec<_> = (0..group.members.len())
        .filter_map(|rank| join_order(view, record, group, rank))
        .collect();
    let loads = orders.iter().filter(|order| order.loads).count();
    let weight = view.weight(&group.deployment);
    GroupBatch {
        rank: (absent.count(), loads, ((1.0 - weight) * 1000.0) as u32),
        orders,
    }
}

fn answers(view: &PlanView, member: &MemberRecord) -> bool {
    let report = view.report(&member.host);
    report.is_some_and(|report| report.incarnation == member.incarnation)
}

fn join_order(
    view: &PlanView,
    record: &FabricRecord,
    group: &GroupRecord,
    rank: usize,
) -> Option<WantedOrder> {
    let member = &group.members[rank];
    let report = view.report(&member.host)?;
    let wanted = assignment_of(group, rank);
    let placed = report.assignment.as_ref() == Some(&wanted);
    if report.incarnation != member.incarnation || placed {
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
    Some(WantedOrder {
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
) -> Option<WantedOrder> {
    let member = &standby.member;
    let report = view.report(&member.host)?;
    let model = &view.targets.get(&standby.deployment)?.spec.model;
    let loaded = report.model.as_ref() == Some(model) && report.phase != MemberPhase::Idle;
    if report.incarnation != member.incarnation || report.assignment.is_some() || loaded {
        return None;
    }
    Some(WantedOrder {
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

/// Orders to hosts that believe in a group which the record does not give them.
fn idle_orders(view: &PlanView, record: &FabricRecord) -> Vec<WantedOrder> {
    let members = record.member_hosts();
    view.hosts
        .values()
        .filter(|entry| !members.contains(&entry.host))
        .filter_map(|entry| Some((entry, view.report(&entry.host)?)))
        .filter(|(_, report)| believes_in(record, report))
        .map(|(entry, report)| WantedOrder {
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

/// Whether the host says that it belongs to a group of this fabric domain.
fn believes_in(record: &FabricRecord, report: &HostReport) -> bool {
    let Some(assignment) = &report.assignment else {
        return false;
    };
    let name = assignment.group.as_str();
    let fabric = record.fabric.as_str();
    name.strip_prefix(fabric)
        .is_some_and(|rest| rest.starts_with('.'))
}
