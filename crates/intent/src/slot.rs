//! Newest version of the configuration that a process has received.

use base::prelude::*;

use crate::RoutingConfig;

/// Version in force; only replaced by a newer one.
#[derive(Clone, Debug, Default)]
pub struct ConfigSlot(Option<Arc<RoutingConfig>>);

/// Outcome of an attempt to put a version in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// The version is now in force.
    Adopted,
    /// The version was already in force.
    Same,
    /// A newer version is in force.
    Older,
}

impl ConfigSlot {
    /// Puts a version in force unless the present one is the same or newer.
    pub fn adopt(&mut self, config: Arc<RoutingConfig>) -> AdoptOutcome {
        match self.version() {
            Some(present) if present > config.version => AdoptOutcome::Older,
            Some(present) if present == config.version => AdoptOutcome::Same,
            _ => {
                self.0 = Some(config);
                AdoptOutcome::Adopted
            }
        }
    }

    /// Version in force; `None` before the first one.
    pub fn get(&self) -> Option<&Arc<RoutingConfig>> {
        self.0.as_ref()
    }

    /// Number of the version in force; `None` before the first one.
    pub fn version(&self) -> Option<u64> {
        self.0.as_ref().map(|config| config.version)
    }
}
