//! What nodes send, spend and break.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::PeerMessage;

/// Bytes that TCP, IP and Ethernet add to a frame, its length prefix included.
pub const OVERHEAD_BYTES: u64 = 70;

/// Time that this process has spent so far.
pub type Stopwatch = fn() -> Duration;

/// Counters of one node.
#[derive(Clone, Debug, Default)]
pub struct NodeMeter {
    /// Frames sent.
    pub frames: u64,
    /// Bytes sent, overhead included.
    pub bytes: u64,
    /// Time spent deciding, encoding and decoding.
    pub processing_time: Duration,
    /// Versions that were put into force after a newer or equal one.
    pub regressions: u64,
    /// Wake-ups after which the next one was due at once.
    pub stalls: u64,
    /// Frames and entries refused.
    pub refusals: u64,
    /// Frames and bytes by kind of message.
    pub kinds: BTreeMap<&'static str, (u64, u64)>,
}

impl NodeMeter {
    /// Counts a frame.
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
