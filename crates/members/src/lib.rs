//! What the system's own nodes tell one another.
//!
//! A [`PeerState`] holds one node's picture of the others: which nodes there
//! are, which version of each item (a section of the document, a fabric domain)
//! is in force, and which replica groups were seen complete. `commands` change
//! it and return [`PeerEffect`]s; `queries` only read it. It knows no socket,
//! clock or codec: [`wire`] turns a [`PeerFrame`] into bytes and back.
//!
//! # Overlay
//!
//! Every node knows all nodes by name but keeps links to few. Links follow from
//! hashes of the names, so that both ends derive the same link: two rings
//! within the failure domain and two within the region. The first three nodes
//! of each failure domain by hash watch the store; watchers of equal rank are
//! linked across failure domains, and these are the only links between regions.
//! A node that misses heartbeats is suspected, and dead unless it answers with
//! a higher refutation; suspicion never crosses regions, so that a cut between
//! them changes nothing that would have to be mended afterwards.
//!
//! # What counts as proof
//!
//! A node takes a newer version into force when it read it from the store
//! itself, when a watcher announces it on its own link, or when two peers
//! announce the same version with the same digest. A watcher that reaches the
//! store believes nobody but the store. Until then the version is in
//! quarantine: not in force, not passed on, and after a short wait put to a
//! watcher or, at a bounded rate, to the store. Versions at or below the one in
//! force are refused whoever sends them.
//!
//! Defended: replayed, reordered, duplicated and garbled frames, frames of
//! another cluster or of an earlier run of a node, and one faulty peer that
//! invents versions. Not defended: two linked peers that invent the same version, a
//! watcher that invents one, and anyone who can send under another node's name;
//! frames carry no signature, and every node could write to the store anyway.
//! Where a failure domain has three nodes or fewer, all of them watch, and no
//! peer can raise a version by itself. A
//! store that is set back to older versions is refused and reported, not
//! followed.
//!
//! # Readiness
//!
//! A node that starts is ready once it holds every item that a listing of the
//! store names. With the store down it becomes ready when peers that are ready
//! themselves, three or as many as it knows, hold exactly what it holds. The
//! trap: those peers may all be cut off together, so the newcomer can be as old
//! as they are, but never older. A newcomer that reaches neither store nor
//! ready peers stays unready, because nothing it could serve from is proven. A
//! node that was ready stays so, with the versions it has: an outage stops
//! changes, not service.
//!
//! # Ages
//!
//! An observation counts from before its question was sent. A node that passes
//! it on answers a question too, and the asker counts the age that it is told
//! from the moment it asked. A paused process or a late frame therefore makes an
//! observation older, never younger. Bad news is pushed, and counts as fresh as
//! it can possibly be.

mod catalog;
mod directory;
mod effect;
mod error;
mod frame;
mod item;
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
pub use observation::{GroupLoad, GroupObservation, GroupVerdict};
pub use queries::ReadinessProof;
pub use record::{NodeIncarnation, NodePhase, NodeRecord};
pub use settings::PeerSettings;
pub use state::PeerState;
