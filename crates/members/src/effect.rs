//! Effects that commands return.

use std::net::SocketAddr;

use base::prelude::*;

use crate::{Item, ItemKey, PeerFrame};

/// Effect of a command, to be executed by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerEffect {
    /// Send a frame to a peer.
    Send {
        /// Address of the peer.
        to: SocketAddr,
        /// Frame to send.
        frame: PeerFrame,
    },
    /// Apply an item that is now in force.
    Deliver(Item),
    /// Wait for a listing newer than a version, with one long-poll call.
    ///
    /// To be answered by `apply_store_listing` or `record_listing_failure`.
    WatchListing {
        /// Version already known; zero to get the current listing at once.
        after: ObjectVersion,
    },
    /// Read items from the store.
    ///
    /// To be answered by `apply_store_item` for each item, or by one
    /// `record_read_failure` if the store gives no answer within a second.
    ReadItems(Vec<ItemKey>),
    /// Close the connection to a peer from which nothing was received in time.
    Close {
        /// Address of the peer.
        to: SocketAddr,
    },
    /// The node has become ready.
    Ready,
    /// A frame or a part of it was refused.
    Refused {
        /// Sender of the frame.
        from: NodeName,
        /// Reason of the refusal.
        reason: FrameRefusal,
    },
    /// The store returned an older version of the item than the one in force.
    StoreBehind(ItemKey),
}

/// Why a frame or a part of it was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameRefusal {
    /// The frame comes from another cluster.
    OtherCluster,
    /// The frame comes from an earlier incarnation of its sender.
    EarlierRun,
    /// The frame has the receiver's own name as its sender.
    OwnName,
    /// The sender is not in the directory.
    UnknownSender,
    /// An item is older than the one in force.
    OldVersion,
    /// The same version has another digest than the one in force.
    OtherDigest,
    /// A body doesn't match the proven digest, or its version isn't proven.
    WrongBody,
    /// An answer matches no open question to its sender.
    UnknownQuestion,
}
