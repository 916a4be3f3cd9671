//! What was read, what is to be read, and what changed by it.

use std::net::SocketAddr;

use base::prelude::*;
use document::{Document, GoodSections};
use groups::{FabricRecord, HostReport};
use interface::{DrainList, HostEntry};

/// End of a read; `None` where there was no answer.
#[derive(Debug)]
pub enum WatchEvent {
    /// The document was read.
    DocumentRead(Option<(ObjectVersion, Arc<Document>)>),
    /// The document still has the version in force.
    DocumentUnchanged,
    /// The last good sections were read.
    GoodSectionsRead(Option<GoodSections>),
    /// All fabric domains were read.
    FabricsRead(Option<Vec<(FabricRecord, ObjectVersion)>>),
    /// The list of hosts was read.
    HostsRead(Option<Vec<HostEntry>>),
    /// The hosts that operators are draining were read.
    DrainsRead(Option<DrainList>),
    /// The nodes that run a gateway were counted.
    NodesRead(Option<usize>),
    /// A host answered, or did not.
    HostReported {
        /// The host.
        host: HostName,
        /// When it was asked.
        polled_at: ClockTime,
        /// What it said.
        report: Option<HostReport>,
    },
}

/// Read to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEffect {
    /// Read the document, waiting for one newer than a version.
    ReadDocument {
        /// Version in force.
        after: ObjectVersion,
        /// Instant at which the wait ends.
        deadline: ClockTime,
    },
    /// Read the last good sections.
    ReadGoodSections,
    /// Read all fabric domains.
    ReadFabrics,
    /// Read the list of hosts.
    ReadHosts,
    /// Read the hosts that operators are draining.
    ReadDrains,
    /// Count the nodes that run a gateway.
    ReadNodes,
    /// Ask a host for its report.
    PollHost {
        /// The host.
        host: HostName,
        /// Where its endpoint listens.
        address: SocketAddr,
        /// Instant by which it must answer.
        deadline: ClockTime,
    },
}

/// What a read changed.
#[derive(Debug)]
pub enum WatchChange {
    /// Nothing.
    Nothing,
    /// The configuration in force.
    Configuration,
    /// Fabric domains as they were read, older versions perhaps among them.
    Fabrics(Vec<(FabricRecord, ObjectVersion)>),
    /// The list of hosts, or which of them are drained.
    Hosts,
    /// How many nodes run a gateway.
    Nodes,
    /// A host's report.
    Report {
        /// What it said.
        report: HostReport,
        /// When it was asked.
        polled_at: ClockTime,
    },
}
