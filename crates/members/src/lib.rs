//! Membership and replication of state between the nodes of a cluster.
//!
//! A [`PeerState`] holds what one node knows of the others: which nodes exist,
//! which version of each item (a section of the document, a fabric domain) is in
//! force, and which replica groups were observed to be complete. `commands`
//! change it and return [`PeerEffect`]s; `queries` only read it. It does no I/O
//! and reads no clock; [`wire`] encodes and decodes a [`PeerFrame`].
//!
//! # Overlay
//!
//! Every node knows all nodes by name but keeps links to few. Links are derived
//! from hashes of the names, so that both ends derive the same link: two rings
//! within the failure domain and two within the region. The first three nodes
//! of each failure domain by hash are watchers: they watch the store. Watchers
//! of equal rank are linked across failure domains, and these are the only links
//! between regions. A node whose heartbeats are missing is suspected, and
//! declared dead unless it refutes the suspicion with a higher refutation number.
//! Nodes of other regions are never suspected, so that a partition between
//! regions leaves no node records to be corrected afterwards.
//!
//! # Proof of versions
//!
//! A node puts a newer version into force when it read it from the store itself,
//! when a watcher itself announces it, or when two peers announce the same
//! version with the same digest. A watcher that reaches the store accepts
//! versions only from the store. Until it is proven, a version is in quarantine:
//! not in force and not forwarded. After a short wait the node asks a watcher to
//! confirm it or, at a limited rate, reads it from the store. Versions not newer
//! than the one in force are refused from any sender.
//!
//! The protocol protects against replayed, reordered, duplicated and corrupted
//! frames, frames of another cluster or of an earlier incarnation of a node, and
//! one faulty peer that invents versions. It does not protect against two linked
//! peers that invent the same version, against a watcher that invents one, or
//! against anyone who can send under another node's name: frames carry no
//! signature, and every node could write to the store anyway. Where a failure
//! domain has three nodes or fewer, all of them are watchers, and no peer can
//! raise a version by itself. A store that was reset to older versions is
//! reported, and its versions are refused.
//!
//! A version that is proven is named to the linked peers at once, before its body is there, so
//! its number reaches every node ahead of it ([`PeerState::behind_since`]). Such a notice proves
//! nothing: no body is fetched because of it.
//!
//! # Readiness
//!
//! A starting node is ready once it holds every item of a listing of the store.
//! While the store is down, it becomes ready when ready peers, three or as many
//! as it knows, hold exactly the items that it holds. These peers may all be
//! partitioned from the rest, so the new node can be as outdated as they are, but
//! never more. A starting node that reaches neither the store nor ready peers
//! stays unready, because nothing that it could serve from is proven. A node that
//! has become ready stays ready with the versions it has: an outage of the store
//! stops changes, not service.
//!
//! # Ages of observations
//!
//! The age of an observation is measured from before the first request to a
//! member was sent. A node that forwards an observation sends its age, and the
//! receiver adds the time since it sent its question. A paused process or a
//! delayed frame therefore makes an observation older, never younger. An
//! observation of an incomplete group is pushed at once and gets the lowest
//! possible age.

mod catalog;
mod directory;
mod effect;
mod error;
mod frame;
mod item;
mod notice;
mod observation;
mod overlay;
mod record;
mod settings;
mod state;
mod summary;

pub mod commands;
pub mod fake;
pub mod queries;
pub mod wire;

pub use effect::{FrameRefusal, PeerEffect};
pub use error::FrameError;
pub use frame::{BucketReport, ObservationReport, PeerFrame, PeerMessage, PeerSummary};
pub use item::{Item, ItemDigest, ItemEntry, ItemKey, StoreListing};
pub use observation::{GroupCompleteness, GroupLoad, GroupObservation};
pub use queries::ReadinessProof;
pub use record::{NodeIncarnation, NodePhase, NodeRecord};
pub use settings::PeerSettings;
pub use state::PeerState;
