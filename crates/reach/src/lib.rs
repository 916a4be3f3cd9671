//! Whether this node reaches the servers, and which node passes its requests on if not.
//!
//! A node whose links to all servers are cut can't tell that from the failure of its requests:
//! servers crash, fall silent for a second, and reset connections for reasons of their own. So
//! trouble with several servers only raises a suspicion. A trial then asks other servers on new
//! connections. If one of them responds, servers fail and the node is sound; if none does, the
//! node is cut off. While it is, it has other nodes pass its requests on, says nothing about
//! servers to them, and repeats the trial until several servers are reached again.
//!
//! If all nodes are cut off, the servers are down, and no node passes anything on.
//!
//! [`commands`] change a [`ReachState`]; [`queries`] only read it.

mod settings;
mod state;

pub mod commands;
pub mod queries;

pub use settings::ReachSettings;
pub use state::{PassCandidate, ReachChange, ReachState};
