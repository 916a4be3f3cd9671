//! What the gateway hears and what it wants done.

use std::net::SocketAddr;

use base::prelude::*;
use document::{Document, GoodSections, KeyDigest};
use groups::{FabricRecord, HostReport};
use ledger::{EpochRead, LedgerEffect, ShardId, ShardRead};
use net::AskId;
use platform::{DrainList, HostEntry};
use store::UpdateOutcome;

use crate::{AttemptEnd, CallArrival, CallStep, GatewayStatus};

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
    /// The document was read.
    DocumentRead(Option<(ObjectVersion, Arc<Document>)>),
    /// The fabric domains were read.
    FabricsRead(Option<Vec<(FabricRecord, ObjectVersion)>>),
    /// The last good sections were read.
    GoodSectionsRead(Option<GoodSections>),
    /// The hosts that operators are draining were read.
    DrainsRead(Option<DrainList>),
    /// The list of hosts was read.
    HostsRead(Option<Vec<HostEntry>>),
    /// A host answered, or did not.
    HostReported {
        /// The host.
        host: HostName,
        /// When it was asked.
        asked_at: ClockTime,
        /// What it said.
        report: Option<HostReport>,
    },
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
    /// Somebody asks how the gateway is.
    Asked {
        /// Number of the question.
        ask: AskId,
        /// The question.
        question: GatewayQuestion,
    },
    /// The process was told to stop.
    StopRequested,
    /// The last connection of a caller is closed.
    CallersGone,
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
    /// Read the document, waiting for one newer than a version.
    ReadDocument {
        /// Version in force.
        after: ObjectVersion,
        /// Instant at which the wait ends.
        deadline: ClockTime,
    },
    /// Read all fabric domains.
    ReadFabrics,
    /// Read the list of hosts.
    ReadHosts,
    /// Read the last good sections.
    ReadGoodSections,
    /// Read the hosts that operators are draining.
    ReadDrains,
    /// Ask a host for its report.
    AskHost {
        /// The host.
        host: HostName,
        /// Where its endpoint listens.
        address: SocketAddr,
        /// Instant by which it must answer.
        deadline: ClockTime,
    },
    /// Make the ledger's call to the store.
    Ledger(LedgerEffect),
    /// Answer a question.
    Tell {
        /// Number of the question.
        ask: AskId,
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
