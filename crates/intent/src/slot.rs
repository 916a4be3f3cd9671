//! The newest version that a process knows.

use base::prelude::*;

use crate::RoutingConfig;

/// Version in force; it only ever moves forward.
#[derive(Clone, Debug, Default)]
pub struct ConfigSlot(Option<Arc<RoutingConfig>>);

/// What became of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// It is in force now.
    Adopted,
    /// It is the one in force already.
    Same,
    /// A newer one is in force.
    Older,
}

impl ConfigSlot {
    /// Puts a version in force unless it is older than the present one.
    pub fn adopt(&mut self, intent: Arc<RoutingConfig>) -> AdoptOutcome {
        match self.version() {
            Some(present) if present > intent.version => AdoptOutcome::Older,
            Some(present) if present == intent.version => AdoptOutcome::Same,
            _ => {
                self.0 = Some(intent);
                AdoptOutcome::Adopted
            }
        }
    }

    /// Version in force.
    pub fn get(&self) -> Option<&Arc<RoutingConfig>> {
        self.0.as_ref()
    }

    /// Number of the version in force.
    pub fn version(&self) -> Option<u64> {
        self.0.as_ref().map(|intent| intent.version)
    }
}
