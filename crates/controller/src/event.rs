//! What the controller hears and what it wants done.

use std::net::SocketAddr;

use base::prelude::*;
use document::{Document, GoodSections};
use groups::{FabricEffect, FabricRecord, HostReport};
use net::AskId;
use platform::{DrainList, FabricRead, HostEntry};
use store::UpdateOutcome;

use crate::ControllerStatus;

/// What the controller hears.
#[derive(Debug)]
pub enum ControllerEvent {
    /// The document was read.
    DocumentRead(Option<(ObjectVersion, Arc<Document>)>),
    /// All fabric domains were read.
    FabricsRead(Option<Vec<(FabricRecord, ObjectVersion)>>),
    /// One fabric domain was read.
    FabricRead {
        /// The fabric domain.
        fabric: FabricName,
        /// How the read ended.
        read: Option<FabricRead>,
    },
    /// A fabric domain was written.
    FabricWritten {
        /// The fabric domain.
        fabric: FabricName,
        /// Mark of the write.
        nonce: WriteNonce,
        /// How the write ended.
        outcome: UpdateOutcome,
    },
    /// The list of hosts was read.
    HostsRead(Option<Vec<HostEntry>>),
    /// The last good sections were read.
    GoodSectionsRead(Option<GoodSections>),
    /// The hosts that operators are draining were read.
    DrainsRead(Option<DrainList>),
    /// A host answered, or did not.
    HostReported {
        /// The host.
        host: HostName,
        /// When it was asked.
        asked_at: ClockTime,
        /// What it said.
        report: Option<HostReport>,
    },
    /// Somebody asks how the controller is.
    StatusAsked {
        /// Number of the question.
        ask: AskId,
    },
    /// The process was told to stop.
    StopRequested,
}

/// What the controller wants done.
#[derive(Debug)]
pub enum ControllerEffect {
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
    /// Do what the decisions on a fabric domain want.
    Fabric(FabricEffect),
    /// Answer a question.
    Tell {
        /// Number of the question.
        ask: AskId,
        /// The answer.
        status: Box<ControllerStatus>,
    },
    /// End the process.
    Finish,
}
