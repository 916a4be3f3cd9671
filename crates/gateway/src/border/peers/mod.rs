//! Connections to other gateways.
//!
//! Each gateway sends over connections that it opened and receives over those
//! that it accepted, one task for each. [`connections`] manages them, [`executor`]
//! executes the effects of the peer layer.

mod connections;
mod executor;

pub use connections::accept_connections;
pub use executor::PeerExecutor;

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use base::prelude::*;
use members::{NodeIncarnation, NodePhase, NodeRecord, PeerSettings, PeerState};
use net::seed_from_system;
use settings::HostSettings;

/// State of the peer layer of a node that listens for peers on `address`.
pub fn new_peer_state(
    settings: &HostSettings,
    region: RegionName,
    address: SocketAddr,
) -> PeerState {
    let local_node = NodeRecord {
        node: settings.node.clone(),
        region,
        domain: settings.domain.clone(),
        address,
        incarnation: next_incarnation(),
        refutations: 0,
        phase: NodePhase::Alive,
    };
    PeerState::new(PeerSettings::default(), local_node, seed_from_system())
}

/// Incarnation number of this start, taken from the system clock so that a later start
/// has a higher number. If the clock was set back, the peer layer raises the number
/// above the one that other nodes remember of an earlier incarnation.
fn next_incarnation() -> NodeIncarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    NodeIncarnation(u64::try_from(millis).unwrap_or(u64::MAX))
}
