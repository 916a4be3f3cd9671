//! How many groups of each deployment every fabric domain forms.
//!
//! The answer depends only on shared data: the document, the platform's list of
//! hosts and the fabric records. Owners of different fabric domains therefore
//! reach the same answer without talking to one another. While their copies of
//! that data differ, one group too many or too few may be formed for a while;
//! it stays within one fabric domain's object, so no host is shared, and the
//! next answer drains it. Groups that stand keep their place before new ones
//! are spread, so that one lost host does not move groups elsewhere.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use base::prelude::*;
use document::DeploymentSpec;

use super::reserve::{HostSupply, grows};
use crate::{FabricState, GroupSettings, HostEntry, HostStatus};

/// Size of one fabric domain and the groups that stand in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FabricSummary {
    /// Its name.
    pub fabric: FabricName,
    /// Failure domain it lies in.
    pub domain: DomainName,
    /// Live hosts.
    pub hosts: usize,
    /// Groups recorded, by deployment.
    pub existing: BTreeMap<DeploymentName, usize>,
}

impl FabricState {
    /// Shape of the fabric domain as listed and recorded.
    pub fn summary(&self, domain: DomainName) -> FabricSummary {
        let live = |entry: &&HostEntry| entry.status == HostStatus::Live;
        let mut standing = BTreeMap::new();
        for group in &self.record.groups {
            *standing.entry(group.deployment.clone()).or_default() += 1;
        }
        FabricSummary {
            fabric: self.record.fabric.clone(),
            domain,
            hosts: self.hosts.values().filter(live).count(),
            existing: standing,
        }
    }
}

/// Groups for each fabric domain, by deployment.
pub type GroupSpread = BTreeMap<FabricName, BTreeMap<DeploymentName, usize>>;

/// Spreads the groups wanted over fabric domains and failure domains.
pub fn spread_groups(
    specs: &BTreeMap<DeploymentName, DeploymentSpec>,
    summaries: &[FabricSummary],
    settings: &GroupSettings,
) -> GroupSpread {
    let mut spreader = Spreader::new(summaries);
    for (deployment, spec) in specs {
        spreader.keep_standing(deployment, spec);
    }
    for (deployment, spec) in specs {
        spreader.grow(deployment, spec, settings);
    }
    spreader.finish()
}

struct Spreader<'a> {
    summaries: Vec<&'a FabricSummary>,
    rooms: Vec<usize>,
    largest: Vec<usize>,
    counts: Vec<BTreeMap<DeploymentName, usize>>,
}

impl<'a> Spreader<'a> {
    fn new(summaries: &'a [FabricSummary]) -> Self {
        let mut summaries: Vec<_> = summaries.iter().collect();
        summaries.sort_by(|a, b| a.fabric.cmp(&b.fabric));
        Self {
            rooms: summaries.iter().map(|summary| summary.hosts).collect(),
            largest: vec![0; summaries.len()],
            counts: vec![BTreeMap::new(); summaries.len()],
            summaries,
        }
    }

    fn count(&self, index: usize, deployment: &DeploymentName) -> usize {
        self.counts[index].get(deployment).copied().unwrap_or(0)
    }

    fn domain_count(&self, domain: &DomainName, deployment: &DeploymentName) -> usize {
        (0..self.summaries.len())
            .filter(|&index| self.summaries[index].domain == *domain)
            .map(|index| self.count(index, deployment))
            .sum()
    }

    fn total(&self, deployment: &DeploymentName) -> usize {
        (0..self.summaries.len())
            .map(|index| self.count(index, deployment))
            .sum()
    }

    fn add(&mut self, index: usize, deployment: &DeploymentName, size: usize) {
        *self.counts[index].entry(deployment.clone()).or_default() += 1;
        self.rooms[index] = self.rooms[index].saturating_sub(size);
        self.largest[index] = self.largest[index].max(size);
    }

    fn pick(&self, deployment: &DeploymentName, allowed: impl Fn(usize) -> bool) -> Option<usize> {
        (0..self.summaries.len())
            .filter(|&index| allowed(index))
            .min_by_key(|&index| {
                (
                    self.domain_count(&self.summaries[index].domain, deployment),
                    self.count(index, deployment),
                    Reverse(self.rooms[index]),
                )
            })
    }

    fn keep_standing(&mut self, deployment: &DeploymentName, spec: &DeploymentSpec) {
        while self.total(deployment) < spec.group_count {
            let stands = |index: usize| {
                let standing = self.summaries[index].existing.get(deployment);
                standing.is_some_and(|&standing| self.count(index, deployment) < standing)
            };
            let Some(index) = self.pick(deployment, stands) else {
                return;
            };
            self.add(index, deployment, spec.group_size);
        }
    }

    fn grow(
        &mut self,
        deployment: &DeploymentName,
        spec: &DeploymentSpec,
        settings: &GroupSettings,
    ) {
        while self.total(deployment) < spec.group_count {
            let allowed = |index: usize| {
                let first = self.counts[index].is_empty();
                let supply = HostSupply {
                    hosts: self.summaries[index].hosts,
                    free: self.rooms[index],
                    largest: self.largest[index],
                };
                supply.free >= spec.group_size && (first || grows(spec, &supply, settings))
            };
            let Some(index) = self.pick(deployment, allowed) else {
                return;
            };
            self.add(index, deployment, spec.group_size);
        }
    }

    fn finish(self) -> GroupSpread {
        let names = self.summaries.iter().map(|summary| summary.fabric.clone());
        names.zip(self.counts).collect()
    }
}
