//! Requests a second of one pool that should leave each failure domain.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{DomainDelays, DomainPair, DomainSupply, SpillSettings};

/// Failure domain with the demand and the servers of one pool.
#[derive(Clone, Debug)]
pub(super) struct DomainState<'a> {
    pub domain: &'a DomainName,
    /// Arrivals a second.
    pub demand: f64,
    /// `None` for a domain without servers.
    pub supply: Option<&'a DomainSupply>,
}

/// Requests a second that go from one domain to another.
pub(super) type DomainFlows = BTreeMap<DomainPair, f64>;

/// Halvings of the interval in which the common loss is searched; leaves an error below 0.001 %.
const LOSS_SEARCH_STEPS: usize = 18;
/// Requests a second that count as none, as sums of floating-point numbers are not exact.
const NEGLIGIBLE_RATE: f64 = 1e-6;

impl DomainState<'_> {
    /// Whether it has servers.
    pub fn has_servers(&self) -> bool {
        self.supply.is_some_and(|supply| supply.slots > 0)
    }

    /// Requests a second that its own servers don't serve in time.
    fn excess(&self, settings: &SpillSettings) -> f64 {
        match self.supply.filter(|_| self.has_servers()) {
            Some(supply) if supply.fill() < settings.min_sender_fill => 0.0,
            Some(supply) => (self.demand - supply.per_second).max(0.0),
            None => self.demand,
        }
    }

    /// Requests a second that its servers take from other domains.
    fn spare(&self, settings: &SpillSettings) -> f64 {
        let Some(supply) = self.supply.filter(|supply| !supply.is_full()) else {
            return 0.0;
        };
        (supply.per_second * settings.receiver_fill - self.demand).max(0.0)
    }

    /// Whether it may send requests to another domain: to none that has no slot left or is fuller
    /// than itself.
    fn may_send_to(&self, other: &Self) -> bool {
        let Some(receiver) = other.supply.filter(|supply| !supply.is_full()) else {
            return false;
        };
        self.supply
            .filter(|_| self.has_servers())
            .is_none_or(|own| receiver.fill() < own.fill())
    }
}

/// Pairs of domains that requests may pass between, nearest first.
pub(super) fn usable_pairs(
    domains: &[DomainState<'_>],
    delays: &DomainDelays,
    is_allowed: &dyn Fn(&DomainPair) -> bool,
) -> Vec<(usize, usize)> {
    let mut pairs = Vec::new();
    for (from, sender) in domains.iter().enumerate() {
        for (to, receiver) in domains.iter().enumerate() {
            let pair = DomainPair {
                from: sender.domain.clone(),
                to: receiver.domain.clone(),
            };
            if from != to && sender.may_send_to(receiver) && is_allowed(&pair) {
                pairs.push((delays.delay(&pair.from, &pair.to), from, to));
            }
        }
    }
    pairs.sort();
    pairs.into_iter().map(|(_, from, to)| (from, to)).collect()
}

/// Flows that bring as many requests in time as possible, and no more than that.
///
/// If the spare capacity is too small, the domains lose the same fraction of their demand.
pub(super) fn target_flows(
    domains: &[DomainState<'_>],
    pairs: &[(usize, usize)],
    settings: &SpillSettings,
) -> DomainFlows {
    let excess: Vec<_> = domains
        .iter()
        .map(|domain| domain.excess(settings))
        .collect();
    let spare: Vec<_> = domains
        .iter()
        .map(|domain| domain.spare(settings))
        .collect();
    let outflows = |loss: f64| {
        let rates = domains.iter().zip(&excess);
        rates
            .map(|(domain, excess)| (excess - loss * domain.demand).max(0.0))
            .collect::<Vec<_>>()
    };
    let route = |loss: f64| {
        let mut router = FlowRouter::new(domains, pairs, spare.clone());
        let left = router.add(&outflows(loss));
        (router, left.iter().sum::<f64>() <= NEGLIGIBLE_RATE)
    };
    let (mut router, is_complete) = route(0.0);
    if !is_complete {
        let (mut low, mut high) = (0.0, 1.0);
        for _ in 0..LOSS_SEARCH_STEPS {
            let middle = (low + high) / 2.0;
            if route(middle).1 {
                high = middle;
            } else {
                low = middle;
            }
        }
        router = route(high).0;
        // Domains that can't reach the spare capacity of the others leave it to these.
        let sent = router.sent();
        let left = excess.iter().zip(&sent);
        let left: Vec<_> = left
            .map(|(excess, sent)| (excess - sent).max(0.0))
            .collect();
        router.add(&left);
    }
    router.into_flows()
}

/// Assigns outflows to spare capacity.
struct FlowRouter<'a> {
    domains: &'a [DomainState<'a>],
    pairs: &'a [(usize, usize)],
    spare: Vec<f64>,
    flows: BTreeMap<(usize, usize), f64>,
}

impl<'a> FlowRouter<'a> {
    fn new(domains: &'a [DomainState<'a>], pairs: &'a [(usize, usize)], spare: Vec<f64>) -> Self {
        Self {
            domains,
            pairs,
            spare,
            flows: BTreeMap::new(),
        }
    }

    /// Adds outflows by domain; returns what no domain takes.
    ///
    /// Domains with servers use the nearest spare capacity. Those without use what is left, in
    /// proportion, as all of their requests leave and would fill the nearest domain alone.
    fn add(&mut self, outflows: &[f64]) -> Vec<f64> {
        let mut left = outflows.to_vec();
        for (from, to) in self.pairs.iter().copied() {
            if self.domains[from].has_servers() {
                let flow = left[from].min(self.spare[to]);
                self.send(&mut left, from, to, flow);
            }
        }
        for from in 0..self.domains.len() {
            if self.domains[from].has_servers() {
                continue;
            }
            let receivers = self.pairs.iter().filter(|(sender, _)| *sender == from);
            let receivers: Vec<_> = receivers.map(|(_, to)| *to).collect();
            let spare: f64 = receivers.iter().map(|to| self.spare[*to]).sum();
            if spare > 0.0 {
                let fraction = (left[from] / spare).min(1.0);
                for to in receivers {
                    let flow = self.spare[to] * fraction;
                    self.send(&mut left, from, to, flow);
                }
            }
        }
        left
    }

    fn send(&mut self, left: &mut [f64], from: usize, to: usize, flow: f64) {
        if flow > 0.0 {
            left[from] -= flow;
            self.spare[to] -= flow;
            *self.flows.entry((from, to)).or_default() += flow;
        }
    }

    /// Outflow by domain.
    fn sent(&self) -> Vec<f64> {
        let mut sent = vec![0.0; self.domains.len()];
        for ((from, _), flow) in &self.flows {
            sent[*from] += flow;
        }
        sent
    }

    fn into_flows(self) -> DomainFlows {
        let domains = self.domains;
        let flows = self.flows.into_iter().map(|((from, to), flow)| {
            let pair = DomainPair {
                from: domains[from].domain.clone(),
                to: domains[to].domain.clone(),
            };
            (pair, flow)
        });
        flows.collect()
    }
}
