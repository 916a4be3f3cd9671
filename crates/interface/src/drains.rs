//! Hosts that operators are taking out of service.

use std::collections::BTreeSet;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Draining hosts, whose endpoints receive no new work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainList {
    /// Hosts that are being drained.
    pub hosts: BTreeSet<HostName>,
}

/// JSON form of a [`DrainList`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainsWire {
    hosts: BTreeSet<HostName>,
}

impl DrainList {
    /// Decodes a stored list; `None` if it is malformed.
    pub fn decode(value: &str) -> Option<Self> {
        let wire: DrainsWire = serde_json::from_str(value).ok()?;
        Some(wire.into())
    }

    /// Encodes the list for the store.
    pub fn encode(&self) -> Arc<str> {
        let wire = DrainsWire::from(self.clone());
        let value = serde_json::to_string(&wire).expect("names can be encoded as JSON");
        Arc::from(value)
    }
}

impl From<DrainsWire> for DrainList {
    fn from(wire: DrainsWire) -> Self {
        Self { hosts: wire.hosts }
    }
}

impl From<DrainList> for DrainsWire {
    fn from(list: DrainList) -> Self {
        Self { hosts: list.hosts }
    }
}
