//! Counters of simulated nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::PeerMessage;

/// Bytes that TCP, IP and Ethernet and the length prefix add to a frame.
pub const OVERHEAD_BYTES: u64 = 70;

/// Reads the time that this process has run so far.
pub type Stopwatch = fn() -> Duration;

/// Counters of one node.
#[derive(Clone, Debug, Default)]
pub struct NodeMeter {
    /// Frames sent.
    pub frames: u64,
    /// Bytes sent, including [`OVERHEAD_BYTES`] for each frame.
    pub bytes: u64,
    /// Time spent in commands and in encoding and decoding.
    pub processing_time: Duration,
    /// Number of items applied after the same or a newer version of them.
    pub regressions: u64,
    /// Number of ticks after which the next deadline had already expired.
    pub busy_wakeups: u64,
    /// Number of frames and entries refused.
    pub refusals: u64,
    /// Numbers of frames and bytes by kind of message.
    pub kinds: BTreeMap<&'static str, (u64, u64)>,
}

impl NodeMeter {
    /// Counts a sent frame of this length in bytes.
    pub fn count_frame(&mut self, message: &PeerMessage, length: usize) {
        let bytes = u64::try_from(length).unwrap_or(u64::MAX) + OVERHEAD_BYTES;
        self.frames += 1;
        self.bytes += bytes;
        let kind = self.kinds.entry(name_kind(message)).or_default();
        kind.0 += 1;
        kind.1 += bytes;
    }
}

fn name_kind(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Join(_) => "join",
        PeerMessage::Nodes(_) => "nodes",
        PeerMessage::Heartbeat(_) => "heartbeat",
        PeerMessage::Notice { .. } => "notice",
        PeerMessage::Buckets(_) => "buckets",
        PeerMessage::Announce(_) => "announce",
        PeerMessage::Confirm(_) => "confirm",
        PeerMessage::Fetch(_) => "fetch",
        PeerMessage::Items(_) => "items",
        PeerMessage::Ask(_) => "ask",
        PeerMessage::Answer { .. } => "answer",
        PeerMessage::Alert(_) => "alert",
    }
}
