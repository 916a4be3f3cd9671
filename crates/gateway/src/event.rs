//! Events and effects of the gateway's event loop.

use base::prelude::*;
use document::KeyDigest;
use ledger::{EpochRead, LedgerEffect, ShardId, ShardRead};
use members::PeerEffect;
use net::ReplyId;
use store::UpdateOutcome;
use watch::{WatchEffect, WatchEvent};

use crate::{
    AttemptEnd, AttemptNumber, CallArrival, CallRefusal, CallStep, GatewayStatus, PeerEvent,
};

/// Input of the gateway's event loop.
#[derive(Debug)]
pub enum GatewayEvent {
    /// A call was received.
    CallArrived(CallArrival),
    /// The response of an attempt has started.
    ResponseStarted {
        /// Call that the attempt belongs to.
        call: CallId,
    },
    /// An attempt's stream has had no event for the silence limit.
    AttemptSilent {
        /// Call that the attempt belongs to.
        call: CallId,
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// An attempt that was silent, or one of several, was the first to go on; the
    /// others are closed.
    AttemptProgressed {
        /// Call that the attempt belongs to.
        call: CallId,
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Call that the attempt belongs to.
        call: CallId,
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Its outcome.
        end: AttemptEnd,
    },
    /// The caller of a call has disconnected.
    CallerDisconnected {
        /// Call that has lost its caller.
        call: CallId,
    },
    /// A read of the platform or a poll of a host ended.
    Watch(WatchEvent),
    /// A read of a ledger shard completed.
    ShardRead {
        /// Shard that was read.
        shard: ShardId,
        /// Its outcome.
        read: ShardRead,
    },
    /// A write of a ledger shard completed.
    ShardWritten {
        /// Shard that was written.
        shard: ShardId,
        /// Its outcome.
        outcome: UpdateOutcome,
    },
    /// A read of the ledger's epoch completed.
    EpochRead(EpochRead),
    /// A write of the ledger's epoch completed.
    EpochWritten(UpdateOutcome),
    /// Input from another gateway.
    Peer(PeerEvent),
    /// A border task requests information about the gateway.
    QueryReceived {
        /// Identifies the pending reply.
        id: ReplyId,
        /// Requested information.
        query: GatewayQuery,
    },
    /// The process received a shutdown signal.
    ShutdownRequested,
    /// The last connection of a caller was closed.
    CallersDisconnected,
}

impl From<WatchEvent> for GatewayEvent {
    fn from(event: WatchEvent) -> Self {
        Self::Watch(event)
    }
}

/// Output of the gateway's event loop, executed by the border.
#[derive(Debug)]
pub enum GatewayEffect {
    /// Send a call's task its next step.
    Step {
        /// Call whose task gets the step.
        call: CallId,
        /// Next step.
        step: CallStep,
    },
    /// Start a read of the platform or a poll of a host.
    Watch(WatchEffect),
    /// Start a store operation of the ledger.
    Ledger(LedgerEffect),
    /// Execute an effect of the peer layer.
    Peer(PeerEffect),
    /// Reply to a query.
    Reply {
        /// Identifies the pending reply.
        id: ReplyId,
        /// Reply to send.
        reply: GatewayReply,
    },
    /// Record a duration in the metrics and histograms.
    Measure(CallMeasure),
    /// Close the callers' listener and drain its connections.
    StopAccepting,
    /// Flush the metrics and end the event loop.
    Finish,
}

/// Measured duration of a call, for the metrics and histograms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallMeasure {
    /// Workspace that made the call.
    pub workspace: WorkspaceName,
    /// Service that it addressed.
    pub service: ServiceName,
    /// Name of the measure.
    pub measure: &'static str,
    /// Measured duration.
    pub duration: Duration,
}

/// Information that can be requested from the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayQuery {
    /// Readiness for new connections from the load balancer.
    Ready,
    /// Model services that the holder of an API key may call.
    Services(KeyDigest),
    /// Full status for operators.
    Status,
}

/// Reply to a [`GatewayQuery`].
#[derive(Clone, Debug)]
pub enum GatewayReply {
    /// Whether the load balancer may send connections here.
    Ready(bool),
    /// Model services of the caller's workspace, or the refusal of its key.
    Services(Result<Vec<ServiceName>, CallRefusal>),
    /// Full status.
    Status(Box<GatewayStatus>),
}
