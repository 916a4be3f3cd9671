//! Links to the other gateways.
//!
//! Each gateway sends over connections that it opened and receives over those
//! that it accepted, one task for each. [`links`] holds them, [`executor`]
//! carries the peer layer's effects out.

mod executor;
mod links;

pub use executor::PeerBorder;
pub use links::receive_links;

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use base::prelude::*;
use members::{NodeIncarnation, NodePhase, NodeRecord, PeerSettings, PeerState};
use net::seed_from_system;
use settings::HostSettings;

/// State of the peer layer of a node that listens for peers at an address.
pub fn new_peers(settings: &HostSettings, region: RegionName, address: SocketAddr) -> PeerState {
    let own = NodeRecord {
        node: settings.node.clone(),
        region,
        domain: settings.domain.clone(),
        address,
        incarnation: next_incarnation(),
        refutations: 0,
        phase: NodePhase::Alive,
    };
    PeerState::new(PeerSettings::default(), own, seed_from_system())
}

/// Later starts have higher numbers; a clock that was set back is mended by
/// the layer, which outbids what others remember of an earlier run.
fn next_incarnation() -> NodeIncarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    NodeIncarnation(u64::try_from(millis).unwrap_or(u64::MAX))
}
