//! Rates at which requests arrive.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;

/// Time constant of a rate's average.
const AVERAGING_TIME: Duration = Duration::from_secs(2);

/// Largest number of pools whose rates are kept. Clients name models as they like.
const MAX_POOLS: usize = 256;
/// Requests a second below which a pool's rates are forgotten if there are too many.
const MIN_KEPT_RATE: f64 = 0.05;

/// Average rate of events, in which older ones count exponentially less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateMeter {
    /// Weighted number of events up to `updated_at`.
    level: f64,
    updated_at: ClockTime,
}

impl RateMeter {
    fn record(&mut self, now: ClockTime) {
        self.level = self.level_at(now) + 1.0;
        self.updated_at = now;
    }

    fn level_at(&self, now: ClockTime) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.level * (-elapsed / AVERAGING_TIME.as_secs_f64()).exp()
    }

    /// Events a second.
    pub fn per_second(&self, now: ClockTime) -> f64 {
        self.level_at(now) / AVERAGING_TIME.as_secs_f64()
    }
}

/// Order in which requests are served if not all can be; the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct UrgencyRank {
    /// Priority of the workspace or the route.
    pub priority: u8,
    /// Whether its client has just sent it, and has not waited and come back.
    pub is_new: bool,
}

/// Rates of the requests that the same servers can run.
#[derive(Clone, Debug, Default)]
struct PoolDemand {
    by_rank: BTreeMap<UrgencyRank, RateMeter>,
    refused: RateMeter,
}

/// Rates of a service's requests for a model, a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelRates {
    /// Requests that arrive.
    pub arrivals: f64,
    /// Those of them whose client was refused before and has come back.
    pub returns: f64,
    /// Requests that are refused.
    pub refusals: f64,
    /// Mean priority of those that arrive, zero being the most urgent.
    pub priority: f64,
}

impl PoolDemand {
    fn per_second(&self, now: ClockTime) -> f64 {
        let meters = self.by_rank.values();
        meters.map(|meter| meter.per_second(now)).sum()
    }
}

/// Service and model of requests that the same servers can run.
type PoolKey = (ServiceName, Option<ModelName>);

/// Rates at which requests arrive at this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandMeter {
    pools: HashMap<PoolKey, PoolDemand>,
    total: RateMeter,
}

impl DemandMeter {
    pub fn record(&mut self, pool: PoolKey, rank: UrgencyRank, now: ClockTime) {
        self.total.record(now);
        if self.pools.len() >= MAX_POOLS && !self.pools.contains_key(&pool) {
            self.pools
                .retain(|_, pool| pool.per_second(now) >= MIN_KEPT_RATE);
        }
        if self.pools.len() < MAX_POOLS || self.pools.contains_key(&pool) {
            let pool = self.pools.entry(pool).or_default();
            pool.by_rank.entry(rank).or_default().record(now);
        }
    }

    /// Records that a request of a pool was refused.
    pub fn record_refusal(&mut self, pool: &PoolKey, now: ClockTime) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.refused.record(now);
        }
    }

    /// Rates of a pool.
    pub fn rates(&self, pool: &PoolKey, now: ClockTime) -> ModelRates {
        let Some(pool) = self.pools.get(pool) else {
            return ModelRates::default();
        };
        let mut rates = ModelRates {
            refusals: pool.refused.per_second(now),
            ..ModelRates::default()
        };
        for (rank, meter) in &pool.by_rank {
            let rate = meter.per_second(now);
            rates.arrivals += rate;
            rates.returns += if rank.is_new { 0.0 } else { rate };
            rates.priority += rate * f64::from(rank.priority);
        }
        if rates.arrivals > 0.0 {
            rates.priority /= rates.arrivals;
        }
        rates
    }

    /// Number of pools whose rates are kept.
    pub fn pool_count(&self) -> usize {
        self.pools.len()
    }

    /// All requests, a second.
    pub fn total(&self, now: ClockTime) -> f64 {
        self.total.per_second(now)
    }

    /// Requests of a pool, a second: those that are more urgent than a rank, and those of it.
    pub fn by_urgency(&self, pool: &PoolKey, rank: UrgencyRank, now: ClockTime) -> (f64, f64) {
        let Some(pool) = self.pools.get(pool) else {
            return (0.0, 0.0);
        };
        let more_urgent = pool.by_rank.range(..rank);
        let more_urgent = more_urgent.map(|(_, meter)| meter.per_second(now)).sum();
        let equal = pool.by_rank.get(&rank);
        (
            more_urgent,
            equal.map_or(0.0, |meter| meter.per_second(now)),
        )
    }
}
