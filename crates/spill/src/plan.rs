//! Shares of the requests that leave their failure domain.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{DomainPair, TrafficPool};

/// Why a share has its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpillReason {
    /// The domain's own servers don't serve all of its requests in time.
    Overload,
    /// The domain has no servers.
    NoServers,
    /// The domain's own servers serve its requests in time.
    OwnServers,
    /// The receiving domain is full.
    ReceiverFull,
    /// What is known is too old.
    Outdated,
}

impl SpillReason {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::NoServers => "no-servers",
            Self::OwnServers => "own-servers",
            Self::ReceiverFull => "receiver-full",
            Self::Outdated => "outdated",
        }
    }
}

/// Share of a domain's requests that goes to another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SpillShare {
    pub fraction: f64,
    pub reason: SpillReason,
}

/// Change of a share.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// Requests that it applies to.
    pub pool: TrafficPool,
    /// Domains that it applies to.
    pub pair: DomainPair,
    /// New share.
    pub share: f64,
    /// Why it has changed.
    pub reason: SpillReason,
}

/// Shares of the requests that leave their failure domain, by pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SpillPlan {
    pub(crate) pools: BTreeMap<TrafficPool, BTreeMap<DomainPair, SpillShare>>,
}

impl SpillPlan {
    /// Whether no pool is planned.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Whether a pool is planned.
    pub fn covers(&self, pool: &TrafficPool) -> bool {
        self.pools.contains_key(pool)
    }

    /// Share of the requests of one domain that goes to the servers of another one, from 0 to 1;
    /// of its own servers, what is left.
    pub fn share(
        &self,
        service: &ServiceName,
        model: Option<&ModelName>,
        from: &DomainName,
        to: &DomainName,
    ) -> f64 {
        let pool = TrafficPool {
            service: service.clone(),
            model: model.cloned(),
        };
        let shares = self.outflows(&pool, from);
        if from == to {
            return 1.0 - shares.map(|(_, share)| share).sum::<f64>();
        }
        let mut shares = shares.filter(|(domain, _)| *domain == to);
        shares.next().map_or(0.0, |(_, share)| share)
    }

    /// Shares of the requests of a domain that leave it, by receiving domain.
    pub fn outflows<'a>(
        &'a self,
        pool: &TrafficPool,
        from: &'a DomainName,
    ) -> impl Iterator<Item = (&'a DomainName, f64)> {
        let shares = self.pools.get(pool).into_iter().flatten();
        shares
            .filter(move |(pair, _)| pair.from == *from)
            .map(|(pair, share)| (&pair.to, share.fraction))
    }

    /// Takes over the shares of a newer plan that differ by at least `step`, or that end; returns
    /// them.
    pub fn take_changes(&mut self, newer: &Self, from: &DomainName, step: f64) -> Vec<ShareChange> {
        let mut changes = Vec::new();
        for (pool, shares) in &newer.pools {
            let known = self.pools.entry(pool.clone()).or_default();
            for (pair, share) in shares.iter().filter(|(pair, _)| pair.from == *from) {
                let last = known.get(pair).map_or(0.0, |known| known.fraction);
                let has_ended = share.fraction == 0.0 && last > 0.0;
                if (share.fraction - last).abs() < step && !has_ended {
                    continue;
                }
                known.insert(pair.clone(), *share);
                changes.push(ShareChange {
                    pool: pool.clone(),
                    pair: pair.clone(),
                    share: share.fraction,
                    reason: share.reason,
                });
            }
        }
        changes
    }
}
