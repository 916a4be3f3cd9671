//! Hosts that operators are taking out of service.

use std::collections::BTreeSet;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

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
    hosts: Vec<Value>,
}

impl DrainList {
    /// Decodes a stored list; `None` if it is malformed. An entry that names no host is left out.
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
        let hosts = wire.hosts.into_iter().filter_map(|host| {
            let name = HostName::new(host.as_str().unwrap_or_default());
            if let Err(error) = &name {
                log::warn!(host:% = host; "draining host ignored: {error}");
            }
            name.ok()
        });
        Self {
            hosts: hosts.collect(),
        }
    }
}

impl From<DrainList> for DrainsWire {
    fn from(list: DrainList) -> Self {
        let hosts = list.hosts.into_iter();
        Self {
            hosts: hosts.map(|host| Value::String(host.into())).collect(),
        }
    }
}
