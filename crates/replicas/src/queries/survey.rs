//! Endpoints of a service by fabric domain, and the groups that have them.
//!
//! Every step of the planner asks which endpoints of a domain are free. The
//! survey answers that without a look at all groups for each endpoint.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;
use intent::Service;

use super::verdict::is_usable;
use crate::{EndpointView, GroupEntry, GroupRecord, PlannerState};

/// Endpoints of a service by fabric domain, and the groups that have them.
#[derive(Clone, Debug, Default)]
pub struct DomainSurvey {
    domains: BTreeMap<FabricName, DomainEntry>,
    /// Models of the groups that endpoints are in.
    models: HashMap<HostName, ModelName>,
}

/// One fabric domain.
#[derive(Clone, Debug, Default)]
struct DomainEntry {
    hosts: Vec<HostName>,
    groups: usize,
}

impl DomainSurvey {
    /// Survey of a service under a record.
    pub fn new(state: &PlannerState, record: &GroupRecord, service: &Service) -> Self {
        let mut survey = Self::default();
        for (id, view) in &state.endpoints {
            if view.endpoint.service != service.name {
                continue;
            }
            if let Some(fabric) = &view.endpoint.fabric {
                let entry = survey.domains.entry(fabric.clone()).or_default();
                entry.hosts.push(id.clone());
            }
        }
        for group in &record.groups {
            let head = state.endpoints.get(&group.head().id);
            survey.add(head.and_then(|view| view.endpoint.fabric.as_ref()), group);
        }
        survey
    }

    /// Counts a group of a domain, whose members are free no more.
    pub(crate) fn add(&mut self, fabric: Option<&FabricName>, group: &GroupEntry) {
        if let Some(entry) = fabric.and_then(|fabric| self.domains.get_mut(fabric)) {
            entry.groups += 1;
        }
        for member in &group.members {
            self.models.insert(member.id.clone(), group.model.clone());
        }
    }

    /// Fabric domains.
    pub(super) fn fabrics(&self) -> impl Iterator<Item = &FabricName> {
        self.domains.keys()
    }

    /// Endpoints of a domain.
    pub(super) fn views<'a>(
        &'a self,
        state: &'a PlannerState,
        fabric: &FabricName,
    ) -> impl Iterator<Item = &'a EndpointView> {
        let hosts = self.domains.get(fabric).map(|entry| entry.hosts.iter());
        hosts
            .into_iter()
            .flatten()
            .filter_map(|id| state.endpoints.get(id))
    }

    /// Usable endpoints of a domain that are in no group.
    pub(super) fn free<'a>(
        &'a self,
        state: &'a PlannerState,
        fabric: &FabricName,
    ) -> impl Iterator<Item = &'a EndpointView> {
        let usable = self.views(state, fabric).filter(|view| is_usable(view));
        usable.filter(|view| self.model_of(&view.endpoint.id).is_none())
    }

    /// Groups of a domain.
    pub(crate) fn group_count(&self, fabric: &FabricName) -> usize {
        self.domains.get(fabric).map_or(0, |entry| entry.groups)
    }

    /// Model of the group that an endpoint is in.
    pub fn model_of(&self, id: &HostName) -> Option<&ModelName> {
        self.models.get(id)
    }
}
