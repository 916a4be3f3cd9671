//! What a node wants done.

use std::net::SocketAddr;

use base::prelude::*;

use crate::{Item, ItemKey, PeerFrame};

/// Effect of a command, to be carried out at the border.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerEffect {
    /// Send a frame.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        frame: PeerFrame,
    },
    /// Put an item into force.
    Deliver(Item),
    /// Wait for a listing newer than a version, as one waiting watch.
    ///
    /// Ends in `apply_store_listing` or `fail_listing`.
    WatchListing {
        /// Version already known; zero to read at once.
        after: ObjectVersion,
    },
    /// Read items from the store. Each ends in `apply_store_item`, or all in
    /// `record_read_failure` if the store gives no answer within a second.
    ReadItems(Vec<ItemKey>),
    /// Close the connection: nothing was heard by the deadline.
    Close {
        /// Peer that is silent.
        to: SocketAddr,
    },
    /// The node has become ready.
    Ready,
    /// A frame or a part of it was refused.
    Refused {
        /// Its sender.
        from: NodeName,
        /// Why.
        reason: FrameRefusal,
    },
    /// The store lists an older version than the one in force.
    StoreBehind(ItemKey),
}

/// Why a frame or a part of it was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameRefusal {
    /// It comes from another cluster.
    OtherCluster,
    /// It comes from an earlier run of its sender.
    EarlierRun,
    /// It bears the receiver's own name.
    OwnName,
    /// Its sender is not known.
    UnknownSender,
    /// An item is older than the one in force.
    OldVersion,
    /// The same version has another digest than the one in force.
    OtherDigest,
    /// A body doesn't match the digest that was proven.
    WrongBody,
    /// An answer belongs to no open question.
    UnknownQuestion,
}
