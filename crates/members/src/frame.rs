//! Frames between nodes, apart from their encoding.

use base::prelude::*;

use crate::{GroupLoad, GroupVerdict, Item, ItemEntry, ItemKey, NodeIncarnation, NodeRecord};

/// Message and who sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerFrame {
    /// Hash of the cluster's name.
    pub cluster: u64,
    /// Sender.
    pub from: NodeName,
    /// Run of the sender's process.
    pub incarnation: NodeIncarnation,
    /// What it says.
    pub message: PeerMessage,
}

/// What one node says to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// A node starts and asks for all records.
    Join(NodeRecord),
    /// News of nodes.
    Nodes(Vec<NodeRecord>),
    /// Sign of life.
    Heartbeat(PeerSummary),
    /// Hashes to find out what differs.
    Buckets(BucketReport),
    /// Versions in force at the sender.
    Announce(Vec<ItemEntry>),
    /// Asks whether these are in force at the receiver.
    Confirm(Vec<ItemKey>),
    /// Asks for bodies.
    Fetch(Vec<ItemKey>),
    /// Bodies.
    Items(Vec<Item>),
    /// Asks for observations; the number comes back in the answer.
    Ask(u64),
    /// Observations with their ages when the answer was made.
    Answer {
        /// Number of the question.
        question: u64,
        /// Observations that are still of use.
        reports: Vec<ObservationReport>,
    },
    /// Groups found incomplete.
    Alert(Vec<ObservationReport>),
}

/// Hashes of all that a node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerSummary {
    /// Hash over all items.
    pub items: u64,
    /// Hash over all nodes that are not dead.
    pub nodes: u64,
    /// Whether the sender is ready.
    pub is_ready: bool,
    /// Whether the sender derived a link to the receiver.
    pub is_link: bool,
}

/// Hashes of parts of what a node holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BucketReport {
    /// Hash over the items in each bucket.
    pub items: Vec<u64>,
    /// Hash over the nodes in each bucket.
    pub nodes: Vec<u64>,
    /// Whether this answers such a report.
    pub is_reply: bool,
}

/// Observation and its age.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservationReport {
    /// Group observed.
    pub group: GroupName,
    /// Generation observed.
    pub epoch: GroupEpoch,
    /// What was found.
    pub verdict: GroupVerdict,
    /// Load found.
    pub load: GroupLoad,
    /// Age when the frame was made.
    pub age: Duration,
}
