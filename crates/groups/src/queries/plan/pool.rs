//! Pool of hosts that are free to join a group.

use base::prelude::*;

use super::PlanView;
use crate::{FabricRecord, HostEntry, MemberPhase, MemberRecord};

/// Free hosts that the plan has not used yet.
pub(crate) struct HostPool {
    hosts: Vec<FreeHost>,
}

/// Live host with a valid report that belongs to no group and has been idle long
/// enough that no earlier report of it can be valid anywhere.
pub(crate) struct FreeHost {
    pub member: MemberRecord,
    /// Whether it was replaced as a straggler and its cooldown has not ended.
    pub straggler: bool,
    model: Option<ModelName>,
    ready: bool,
}

impl FreeHost {
    /// Whether the model is loaded.
    pub fn has_loaded(&self, model: &ModelName) -> bool {
        self.ready && self.model.as_ref() == Some(model)
    }
}

impl HostPool {
    /// All hosts that are free according to the record.
    pub fn collect(view: &PlanView, record: &FabricRecord) -> Self {
        let members = record.member_hosts();
        let hosts = view
            .hosts
            .values()
            .filter(|entry| is_usable(view, &entry.host) && !members.contains(&entry.host))
            .filter_map(|entry| free_host(view, record, entry))
            .collect();
        Self { hosts }
    }

    pub fn hosts(&self) -> &[FreeHost] {
        &self.hosts
    }

    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Removes and returns the host that can serve this model soonest.
    pub fn take_soonest(&mut self, model: &ModelName) -> Option<MemberRecord> {
        self.take_where(model, |_| true)
    }

    /// Removes and returns a host that has the model loaded and is no straggler.
    pub fn take_loaded(&mut self, model: &ModelName) -> Option<MemberRecord> {
        self.take_where(model, |host| !host.straggler && host.has_loaded(model))
    }

    /// Number of hosts that have the model loaded and are no stragglers.
    pub fn count_loaded(&self, model: &ModelName) -> usize {
        let hosts = self.hosts.iter();
        hosts
            .filter(|host| !host.straggler && host.has_loaded(model))
            .count()
    }

    fn take_where(
        &mut self,
        model: &ModelName,
        allowed: impl Fn(&FreeHost) -> bool,
    ) -> Option<MemberRecord> {
        let index = (0..self.hosts.len())
            .filter(|&index| allowed(&self.hosts[index]))
            .min_by_key(|&index| {
                let host = &self.hosts[index];
                (
                    host.straggler,
                    !host.has_loaded(model),
                    host.model.as_ref() != Some(model),
                    host.model.is_some(),
                )
            })?;
        Some(self.hosts.remove(index).member)
    }
}

fn free_host(view: &PlanView, record: &FabricRecord, entry: &HostEntry) -> Option<FreeHost> {
    let report = view.report(&entry.host)?;
    let free =
        report.assignment.is_none() && view.is_due(view.timers.available_at.get(&entry.host));
    let straggler = record.stragglers.iter().any(|straggler| {
        straggler.host == entry.host && straggler.incarnation == report.incarnation
    });
    free.then(|| FreeHost {
        member: MemberRecord {
            host: entry.host.clone(),
            address: entry.address,
            incarnation: report.incarnation,
        },
        straggler,
        model: report.model.clone(),
        ready: report.phase != MemberPhase::Loading,
    })
}

fn is_usable(view: &PlanView, host: &HostName) -> bool {
    view.is_live(host) && !view.is_leaving(host)
}
