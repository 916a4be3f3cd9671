//! What the gateway hears and what it wants done.

use base::prelude::*;
use document::KeyDigest;
use ledger::{EpochRead, LedgerEffect, ShardId, ShardRead};
use members::PeerEffect;
use net::ReplyId;
use store::UpdateOutcome;
use watch::{WatchEffect, WatchEvent};

use crate::{AttemptEnd, CallArrival, CallStep, GatewayStatus, PeerEvent};

/// What the gateway hears.
#[derive(Debug)]
pub enum GatewayEvent {
    /// A call came in.
    CallArrived(CallArrival),
    /// The first byte of an answer came.
    AnswerBegan {
        /// Its call.
        call: CallId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Its call.
        call: CallId,
        /// How it ended.
        end: AttemptEnd,
    },
    /// Something was read of the platform or of a host.
    Watch(WatchEvent),
    /// A read of a ledger shard ended.
    ShardRead {
        /// The shard.
        shard: ShardId,
        /// How it ended.
        read: ShardRead,
    },
    /// A write of a ledger shard ended.
    ShardWritten {
        /// The shard.
        shard: ShardId,
        /// How it ended.
        outcome: UpdateOutcome,
    },
    /// A read of the ledger's epoch ended.
    EpochRead(EpochRead),
    /// A write of the ledger's epoch ended.
    EpochWritten(UpdateOutcome),
    /// Something came from another gateway.
    Peer(PeerEvent),
    /// Somebody asks how the gateway is.
    Asked {
        /// Number of the question.
        ask: ReplyId,
        /// The question.
        question: GatewayQuestion,
    },
    /// The process was told to stop.
    StopRequested,
    /// The last connection of a caller is closed.
    CallersGone,
}

impl From<WatchEvent> for GatewayEvent {
    fn from(event: WatchEvent) -> Self {
        Self::Watch(event)
    }
}

/// What the gateway wants done.
#[derive(Debug)]
pub enum GatewayEffect {
    /// Tell a call's task its next step.
    Step {
        /// The call.
        call: CallId,
        /// The step.
        step: CallStep,
    },
    /// Read something of the platform or of a host.
    Watch(WatchEffect),
    /// Make the ledger's call to the store.
    Ledger(LedgerEffect),
    /// Carry out what the peer layer wants.
    Peer(PeerEffect),
    /// Answer a question.
    Tell {
        /// Number of the question.
        ask: ReplyId,
        /// The answer.
        answer: GatewayAnswer,
    },
    /// Record a measured span.
    Measure(CallMeasure),
    /// Close the callers' listener once their connections are done.
    StopAccepting,
    /// End the process.
    Finish,
}

/// Span of a call, for the histograms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallMeasure {
    /// Workspace that made the call.
    pub workspace: WorkspaceName,
    /// Service that it addressed.
    pub service: ServiceName,
    /// What was measured.
    pub measure: &'static str,
    /// Its length.
    pub span: Duration,
}

/// Question about the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayQuestion {
    /// May the balancer send callers here?
    Ready,
    /// Which services may the holder of a key use?
    Services(KeyDigest),
    /// How is everything?
    Status,
}

/// Answer to a [`GatewayQuestion`].
#[derive(Clone, Debug)]
pub enum GatewayAnswer {
    /// Whether callers may be sent here.
    Ready(bool),
    /// Model services of a workspace; none if nobody has the key.
    Services(Option<Vec<ServiceName>>),
    /// How everything is.
    Status(Box<GatewayStatus>),
}
