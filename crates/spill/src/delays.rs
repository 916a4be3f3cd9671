//! Delays between failure domains.

use std::collections::BTreeMap;

use base::prelude::*;

/// One-way delays between failure domains.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DomainDelays(BTreeMap<(DomainName, DomainName), Duration>);

impl DomainDelays {
    /// Delay from one domain to another; the one of the other direction if only that is known,
    /// and the longest possible one if none is.
    pub fn delay(&self, from: &DomainName, to: &DomainName) -> Duration {
        let known = |from: &DomainName, to: &DomainName| {
            let key = (from.clone(), to.clone());
            self.0.get(&key).copied()
        };
        known(from, to)
            .or_else(|| known(to, from))
            .unwrap_or(Duration::MAX)
    }
}

impl FromIterator<(DomainName, DomainName, Duration)> for DomainDelays {
    fn from_iter<I: IntoIterator<Item = (DomainName, DomainName, Duration)>>(entries: I) -> Self {
        let entries = entries.into_iter();
        Self(
            entries
                .map(|(from, to, delay)| ((from, to), delay))
                .collect(),
        )
    }
}
