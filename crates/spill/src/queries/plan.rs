//! Plan of the traffic between failure domains.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

use super::flows::{DomainFlows, DomainState, target_flows, usable_pairs};
use crate::plan::SpillShare;
use crate::{DomainPair, SpillPlan, SpillReason, SpillSettings, SpillView, TrafficPool};

/// Next plan, to be computed once in each step of the damping.
pub fn plan(view: &SpillView<'_>, settings: &SpillSettings) -> SpillPlan {
    if view.age > settings.max_plan_age {
        return without_outflows(view);
    }
    if view.age > settings.max_counts_age {
        return view.previous.clone();
    }
    let demand = view.demand.iter().map(|demand| &demand.pool);
    let supply = view.supply.iter().map(|supply| &supply.pool);
    let pools: BTreeSet<_> = demand.chain(supply).collect();
    let planned = pools.into_iter().filter_map(|pool| {
        let delays = view.delays.get(&pool.service)?;
        let domains = domains_of(view, pool);
        if domains.len() < 2 {
            return None;
        }
        let is_allowed = |pair: &DomainPair| (view.is_allowed)(pool, pair);
        let pairs = usable_pairs(&domains, delays, &is_allowed);
        let flows = target_flows(&domains, &pairs, settings);
        let previous = view.previous.pools.get(pool);
        let shares = next_shares(&domains, &flows, previous, &is_allowed, settings);
        Some((pool.clone(), shares))
    });
    SpillPlan {
        pools: planned.collect(),
    }
}

/// Plan in which own servers come first everywhere, because nothing is known.
fn without_outflows(view: &SpillView<'_>) -> SpillPlan {
    let ended = SpillShare {
        fraction: 0.0,
        reason: SpillReason::Outdated,
    };
    let supply = view.supply.iter().map(|supply| &supply.pool);
    let served = supply.filter(|pool| view.delays.contains_key(&pool.service));
    let served = served.map(|pool| (pool.clone(), BTreeMap::new()));
    let mut pools: BTreeMap<_, _> = served.collect();
    for (pool, shares) in &view.previous.pools {
        let shares = shares.keys().map(|pair| (pair.clone(), ended));
        pools.insert(pool.clone(), shares.collect());
    }
    SpillPlan { pools }
}

/// Failure domains that have callers or servers of a pool.
fn domains_of<'a>(view: &SpillView<'a>, pool: &TrafficPool) -> Vec<DomainState<'a>> {
    let mut domains: BTreeMap<&DomainName, DomainState<'a>> = BTreeMap::new();
    let state = |domain: &'a DomainName| DomainState {
        domain,
        demand: 0.0,
        supply: None,
    };
    for supply in view.supply.iter().filter(|supply| supply.pool == *pool) {
        let entry = domains.entry(&supply.domain);
        entry.or_insert_with(|| state(&supply.domain)).supply = Some(supply);
    }
    for demand in view.demand.iter().filter(|demand| demand.pool == *pool) {
        let entry = domains.entry(&demand.domain);
        entry.or_insert_with(|| state(&demand.domain)).demand += demand.per_second.max(0.0);
    }
    domains.into_values().collect()
}

/// Shares one step after the previous ones.
fn next_shares(
    domains: &[DomainState<'_>],
    flows: &DomainFlows,
    previous: Option<&BTreeMap<DomainPair, SpillShare>>,
    is_allowed: &dyn Fn(&DomainPair) -> bool,
    settings: &SpillSettings,
) -> BTreeMap<DomainPair, SpillShare> {
    let mut shares = BTreeMap::new();
    for sender in domains {
        let steps: Vec<_> = domains
            .iter()
            .filter(|receiver| receiver.domain != sender.domain)
            .filter_map(|receiver| {
                let pair = DomainPair {
                    from: sender.domain.clone(),
                    to: receiver.domain.clone(),
                };
                let last = previous.and_then(|shares| shares.get(&pair));
                let step = ShareStep {
                    last: last.map_or(0.0, |share| share.fraction),
                    target: target_share(sender, flows.get(&pair), settings),
                    is_closed: receiver.supply.is_none_or(|supply| supply.is_full())
                        || !is_allowed(&pair),
                };
                (step.last > 0.0 || step.target > 0.0).then_some((pair, step))
            })
            .collect();
        let mut fractions: Vec<_> = steps.iter().map(|(_, step)| step.next(settings)).collect();
        if !sender.has_servers() {
            fractions = keep_sum(&fractions, &steps);
        }
        for ((pair, step), fraction) in steps.into_iter().zip(fractions) {
            let reason = match (step.is_closed, step.target > 0.0, sender.has_servers()) {
                (true, ..) => SpillReason::ReceiverFull,
                (false, true, true) => SpillReason::Overload,
                (false, true, false) => SpillReason::NoServers,
                (false, false, _) => SpillReason::OwnServers,
            };
            shares.insert(pair, SpillShare { fraction, reason });
        }
    }
    shares
}

/// Share of a domain's requests that a flow is.
fn target_share(sender: &DomainState<'_>, flow: Option<&f64>, settings: &SpillSettings) -> f64 {
    let share = flow.map_or(0.0, |flow| flow / sender.demand.max(*flow));
    if share < settings.min_share {
        0.0
    } else {
        share
    }
}

/// Way of a share to its new value.
struct ShareStep {
    last: f64,
    target: f64,
    /// Whether the receiving domain takes nothing.
    is_closed: bool,
}

impl ShareStep {
    fn next(&self, settings: &SpillSettings) -> f64 {
        if self.is_closed {
            return 0.0;
        }
        if (self.target - self.last).abs() < settings.min_share {
            return self.target;
        }
        self.last + (self.target - self.last) * settings.step_fraction
    }
}

/// Fractions whose sum is that of the targets: a domain without servers can't keep requests back
/// until its shares have reached their values.
fn keep_sum(fractions: &[f64], steps: &[(DomainPair, ShareStep)]) -> Vec<f64> {
    let target: f64 = steps.iter().map(|(_, step)| step.target).sum();
    let sum: f64 = fractions.iter().sum();
    if sum <= 0.0 {
        return steps.iter().map(|(_, step)| step.target).collect();
    }
    fractions
        .iter()
        .map(|fraction| fraction * target / sum)
        .collect()
}
