//! Frames between nodes, independent of their encoding.

use base::prelude::*;

use crate::{GroupCompleteness, GroupLoad, Item, ItemEntry, ItemKey, NodeIncarnation, NodeRecord};

/// Message with its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerFrame {
    /// Hash of the cluster's name.
    pub cluster: u64,
    /// Name of the sending node.
    pub from: NodeName,
    /// Incarnation of the sender's process.
    pub incarnation: NodeIncarnation,
    /// Content of the frame.
    pub message: PeerMessage,
}

/// Message from one node to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// Sent by a starting node to request all records.
    Join(NodeRecord),
    /// Records of nodes.
    Nodes(Vec<NodeRecord>),
    /// Periodic sign of life with hashes of the sender's state.
    Heartbeat(PeerSummary),
    /// Sign of life that also names versions that the sender knows to be proven and doesn't have.
    Notice {
        /// Hashes of the sender's state.
        summary: PeerSummary,
        /// The versions.
        known: Vec<ItemEntry>,
    },
    /// Hashes of buckets, to find the differing ones.
    Buckets(BucketReport),
    /// Announces versions in force at the sender.
    Announce(Vec<ItemEntry>),
    /// Asks which versions of these items are in force at the receiver.
    Confirm(Vec<ItemKey>),
    /// Requests the bodies of items.
    Fetch(Vec<ItemKey>),
    /// Items with their bodies.
    Items(Vec<Item>),
    /// Question for observations; its number is repeated in the answer.
    Ask(u64),
    /// Answer to a question, with the ages at the time of sending.
    Answer {
        /// Number of the question.
        question: u64,
        /// Observations that have not expired.
        reports: Vec<ObservationReport>,
    },
    /// Push of observations of incomplete groups.
    Alert(Vec<ObservationReport>),
}

/// Hashes of a node's items and node records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerSummary {
    /// Hash of all items.
    pub items: u64,
    /// Hash of all nodes that are not dead.
    pub nodes: u64,
    /// Whether the sender is ready.
    pub is_ready: bool,
    /// Whether the sender has derived a link to the receiver.
    pub is_link: bool,
}

/// Hashes of the buckets of a node's items and node records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BucketReport {
    /// Hash of each bucket of items; empty if items are not compared.
    pub items: Vec<u64>,
    /// Hash of each bucket of nodes; empty if nodes are not compared.
    pub nodes: Vec<u64>,
    /// Whether this is the reply to a report.
    pub is_reply: bool,
}

/// Observation of a group with its age.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservationReport {
    /// Observed group.
    pub group: GroupName,
    /// Observed epoch of the group's membership.
    pub epoch: GroupEpoch,
    /// Whether the group was complete.
    pub completeness: GroupCompleteness,
    /// Observed load.
    pub load: GroupLoad,
    /// Age of the observation when the frame was sent.
    pub age: Duration,
}
