//! Rates at which requests for one model arrive at a node.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;

use crate::AdmissionRank;

/// Time constant of a workspace's rate; such an average covers about the last two seconds.
const AVERAGING_TIME: Duration = Duration::from_secs(1);
/// Time constant of the rate of a rank, which shows a rise earlier. A node gets about ten
/// requests a second, so that a shorter average would mostly be chance.
const RISE_AVERAGING_TIME: Duration = Duration::from_millis(400);
/// Shortest time over which a rate is averaged after the first request.
const MIN_AVERAGED_TIME: Duration = Duration::from_millis(100);
/// Rates that are kept; a configuration rarely has more workspaces with traffic.
const MAX_RATES: usize = 512;
/// Level below which a rate is dropped if there are too many.
const MIN_KEPT_LEVEL: f64 = 0.05;
/// Standard deviations up to which a rate may be chance. A workspace below its share is often one
/// or two requests above it in the counted time.
const MAX_CHANCE_DEVIATIONS: f64 = 2.0;
/// Least certain part of a rate.
const MIN_CERTAIN_FRACTION: f64 = 0.1;

/// Decaying number of requests.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    value: f64,
    updated_at: ClockTime,
}

impl Level {
    fn record(&mut self, averaging: Duration, now: ClockTime) {
        self.value = self.at(averaging, now) + 1.0;
        self.updated_at = now;
    }

    fn at(&self, averaging: Duration, now: ClockTime) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.value * (-elapsed / averaging.as_secs_f64()).exp()
    }

    /// Requests a second, if the first one arrived this long ago.
    fn rate(&self, averaging: Duration, elapsed: Duration, now: ClockTime) -> f64 {
        let seconds = averaging.as_secs_f64();
        // A sum over a shorter time than that of the average lacks the part before the start.
        let covered = seconds * (1.0 - (-elapsed.as_secs_f64() / seconds).exp());
        self.at(averaging, now) / covered
    }
}

/// Rates of one rank.
#[derive(Clone, Debug, Default)]
struct RankRates {
    by_workspace: HashMap<Option<WorkspaceName>, Level>,
    recent: Level,
}

impl RankRates {
    /// Rates of the workspaces, raised together where the latest requests show a rise.
    fn rates(&self, elapsed: Duration, now: ClockTime) -> Vec<(&Option<WorkspaceName>, f64)> {
        let levels = self.by_workspace.iter();
        let rates = levels.map(|(name, level)| (name, level.rate(AVERAGING_TIME, elapsed, now)));
        let mut rates: Vec<_> = rates.collect();
        let sum: f64 = rates.iter().map(|(_, rate)| rate).sum();
        let recent = self.recent.rate(RISE_AVERAGING_TIME, elapsed, now);
        let rise = (recent / sum.max(f64::MIN_POSITIVE)).max(1.0);
        for (_, rate) in &mut rates {
            *rate *= rise;
        }
        rates
    }

    fn sum(&self, elapsed: Duration, now: ClockTime) -> f64 {
        let rates = self.rates(elapsed, now);
        rates.iter().map(|(_, rate)| rate).sum()
    }
}

/// Arrival rates by rank and workspace.
#[derive(Clone, Debug, Default)]
pub struct DemandRates {
    ranks: BTreeMap<AdmissionRank, RankRates>,
    started_at: Option<ClockTime>,
}

/// Requests a second of one workspace, at all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspaceDemand {
    /// Estimated rate.
    pub rate: f64,
    /// Part of it that is not likely to be chance.
    pub certain: f64,
}

/// Requests a second of all nodes that compete with a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RankDemand {
    /// Those that go before it, late ones only if it is late itself.
    pub more_urgent: f64,
    /// Those that are in time.
    pub in_time: f64,
    /// Those of its rank and workspace.
    pub own: WorkspaceDemand,
    /// Those of its rank and other workspaces.
    pub others: Vec<WorkspaceDemand>,
}

impl RankDemand {
    /// Those of its rank.
    pub(crate) fn equal(&self) -> f64 {
        self.by_workspace().map(|entry| entry.rate).sum()
    }

    /// Those of its rank, by workspace.
    pub(crate) fn by_workspace(&self) -> impl Iterator<Item = &WorkspaceDemand> {
        std::iter::once(&self.own).chain(&self.others)
    }
}

impl DemandRates {
    pub(crate) fn record(
        &mut self,
        rank: AdmissionRank,
        workspace: Option<&WorkspaceName>,
        now: ClockTime,
    ) {
        self.started_at.get_or_insert(now);
        let counts = self.ranks.values().map(|rates| rates.by_workspace.len());
        if counts.sum::<usize>() >= MAX_RATES {
            for rates in self.ranks.values_mut() {
                (rates.by_workspace)
                    .retain(|_, level| level.at(AVERAGING_TIME, now) >= MIN_KEPT_LEVEL);
            }
        }
        let rates = self.ranks.entry(rank).or_default();
        rates.recent.record(RISE_AVERAGING_TIME, now);
        let level = rates.by_workspace.entry(workspace.cloned()).or_default();
        level.record(AVERAGING_TIME, now);
    }

    pub(crate) fn demand(
        &self,
        rank: AdmissionRank,
        workspace: Option<&WorkspaceName>,
        ratio: f64,
        now: ClockTime,
    ) -> RankDemand {
        let started_at = self.started_at.unwrap_or(now);
        let elapsed = now.since(started_at).max(MIN_AVERAGED_TIME);
        let sum = |is_counted: &dyn Fn(AdmissionRank) -> bool| {
            let ranks = self.ranks.iter().filter(|(rank, _)| is_counted(**rank));
            let sums = ranks.map(|(_, rates)| rates.sum(elapsed, now));
            sums.sum::<f64>() * ratio
        };
        let mut demand = RankDemand {
            more_urgent: sum(&|other| other.is_late == rank.is_late && other < rank),
            in_time: sum(&|other| !other.is_late),
            ..RankDemand::default()
        };
        let equal = self.ranks.get(&rank);
        let rates = equal.map(|rates| rates.rates(elapsed, now));
        for (name, rate) in rates.into_iter().flatten() {
            // The number of requests in the average varies by its root.
            let chance = (rate / (2.0 * AVERAGING_TIME.as_secs_f64())).sqrt();
            let workspace_demand = WorkspaceDemand {
                rate: rate * ratio,
                certain: (rate - chance * MAX_CHANCE_DEVIATIONS).max(rate * MIN_CERTAIN_FRACTION)
                    * ratio,
            };
            if name.as_ref() == workspace {
                demand.own = workspace_demand;
            } else {
                demand.others.push(workspace_demand);
            }
        }
        demand
    }
}
