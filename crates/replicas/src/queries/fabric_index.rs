//! Index of a service's endpoints and groups by fabric domain.
//!
//! Every planning step needs the free endpoints of a domain. The index gives them
//! without a scan of all groups for each endpoint.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;
use intent::Service;

use super::group_health::is_usable;
use crate::{EndpointView, GroupEntry, GroupRecord, PlannerState};

/// Index of a service's endpoints and groups by fabric domain.
#[derive(Clone, Debug, Default)]
pub struct FabricIndex {
    fabrics: BTreeMap<FabricName, FabricEntry>,
    /// Model of the group that each endpoint is in.
    models: HashMap<HostName, ModelName>,
}

/// Endpoints and number of groups of one fabric domain.
#[derive(Clone, Debug, Default)]
struct FabricEntry {
    hosts: Vec<HostName>,
    groups: usize,
}

impl FabricIndex {
    /// Index of a service under a record.
    pub fn new(state: &PlannerState, record: &GroupRecord, service: &Service) -> Self {
        let mut index = Self::default();
        for (id, view) in &state.endpoints {
            if view.endpoint.service != service.name {
                continue;
            }
            if let Some(fabric) = &view.endpoint.fabric {
                let entry = index.fabrics.entry(fabric.clone()).or_default();
                entry.hosts.push(id.clone());
            }
        }
        for group in &record.groups {
            let head = state.endpoints.get(&group.head().id);
            index.add(head.and_then(|view| view.endpoint.fabric.as_ref()), group);
        }
        index
    }

    /// Adds a group of a domain; its members are no longer free.
    pub(crate) fn add(&mut self, fabric: Option<&FabricName>, group: &GroupEntry) {
        if let Some(entry) = fabric.and_then(|fabric| self.fabrics.get_mut(fabric)) {
            entry.groups += 1;
        }
        for member in &group.members {
            self.models.insert(member.id.clone(), group.model.clone());
        }
    }

    /// All fabric domains.
    pub(super) fn fabrics(&self) -> impl Iterator<Item = &FabricName> {
        self.fabrics.keys()
    }

    /// Endpoints of a domain.
    pub(super) fn views<'a>(
        &'a self,
        state: &'a PlannerState,
        fabric: &FabricName,
    ) -> impl Iterator<Item = &'a EndpointView> {
        let hosts = self.fabrics.get(fabric).map(|entry| entry.hosts.iter());
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

    /// Number of groups of a domain.
    pub(crate) fn group_count(&self, fabric: &FabricName) -> usize {
        self.fabrics.get(fabric).map_or(0, |entry| entry.groups)
    }

    /// Model of the group that an endpoint is in; `None` if it is in no group.
    pub fn model_of(&self, id: &HostName) -> Option<&ModelName> {
        self.models.get(id)
    }
}
