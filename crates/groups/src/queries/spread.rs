//! Number of groups of each deployment in every fabric domain.
//!
//! The result depends only on shared data: the document, the platform's list of
//! hosts and the fabric records. Owners of different fabric domains therefore
//! compute the same result without communication. While their copies of the data
//! differ, one group too many or too few may exist for a while. Each group is
//! recorded in one fabric domain's object, so no host is shared, and the next
//! result drains a surplus group. Existing groups keep their fabric domain before
//! new ones are spread, so that the loss of one host does not move groups.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use base::prelude::*;
use document::DeploymentSpec;

use super::reserve::{HostSupply, should_grow};
use crate::{FabricState, GroupSettings, HostEntry, HostStatus};

/// Size of one fabric domain and its existing groups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FabricSummary {
    /// Name of the fabric domain.
    pub fabric: FabricName,
    /// Failure domain that contains it.
    pub domain: DomainName,
    /// Number of live hosts.
    pub hosts: usize,
    /// Number of recorded groups by deployment.
    pub existing: BTreeMap<DeploymentName, usize>,
}

impl FabricState {
    /// Summary of the fabric domain from the host list and the record.
    pub fn summary(&self, domain: DomainName) -> FabricSummary {
        let live = |entry: &&HostEntry| entry.status == HostStatus::Live;
        let mut existing = BTreeMap::new();
        for group in &self.record.groups {
            *existing.entry(group.deployment.clone()).or_default() += 1;
        }
        FabricSummary {
            fabric: self.record.fabric.clone(),
            domain,
            hosts: self.hosts.values().filter(live).count(),
            existing,
        }
    }
}

/// Number of groups by fabric domain and deployment.
pub type GroupSpread = BTreeMap<FabricName, BTreeMap<DeploymentName, usize>>;

/// Spreads the specified groups over failure domains and fabric domains.
pub fn spread_groups(
    specs: &BTreeMap<DeploymentName, DeploymentSpec>,
    summaries: &[FabricSummary],
    settings: &GroupSettings,
) -> GroupSpread {
    let mut spreader = Spreader::new(summaries);
    for (deployment, spec) in specs {
        spreader.keep_existing(deployment, spec);
    }
    for (deployment, spec) in specs {
        spreader.add_groups(deployment, spec, settings);
    }
    spreader.finish()
}

struct Spreader<'a> {
    summaries: Vec<&'a FabricSummary>,
    free_hosts: Vec<usize>,
    largest: Vec<usize>,
    counts: Vec<BTreeMap<DeploymentName, usize>>,
}

impl<'a> Spreader<'a> {
    fn new(summaries: &'a [FabricSummary]) -> Self {
        let mut summaries: Vec<_> = summaries.iter().collect();
        summaries.sort_by(|a, b| a.fabric.cmp(&b.fabric));
        Self {
            free_hosts: summaries.iter().map(|summary| summary.hosts).collect(),
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
        self.free_hosts[index] = self.free_hosts[index].saturating_sub(size);
        self.largest[index] = self.largest[index].max(size);
    }

    fn pick(&self, deployment: &DeploymentName, allowed: impl Fn(usize) -> bool) -> Option<usize> {
        (0..self.summaries.len())
            .filter(|&index| allowed(index))
            .min_by_key(|&index| {
                (
                    self.domain_count(&self.summaries[index].domain, deployment),
                    self.count(index, deployment),
                    Reverse(self.free_hosts[index]),
                )
            })
    }

    fn keep_existing(&mut self, deployment: &DeploymentName, spec: &DeploymentSpec) {
        while self.total(deployment) < spec.group_count {
            let has_existing = |index: usize| {
                let existing = self.summaries[index].existing.get(deployment);
                existing.is_some_and(|&existing| self.count(index, deployment) < existing)
            };
            let Some(index) = self.pick(deployment, has_existing) else {
                return;
            };
            self.add(index, deployment, spec.group_size);
        }
    }

    fn add_groups(
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
                    free: self.free_hosts[index],
                    largest: self.largest[index],
                };
                supply.free >= spec.group_size && (first || should_grow(spec, &supply, settings))
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
