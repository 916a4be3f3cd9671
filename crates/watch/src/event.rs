//! Results of reads, reads to start, and the changes that results cause.

use std::net::SocketAddr;

use base::prelude::*;
use document::{Document, GoodSections};
use groups::{FabricRecord, HostReport};
use interface::{DrainList, HostEntry};

/// Result of a read; `None` if there was no response.
#[derive(Debug)]
pub enum WatchEvent {
    /// The document was read.
    DocumentRead(Option<(ObjectVersion, Arc<Document>)>),
    /// The document still has the active version.
    DocumentUnchanged,
    /// The last good version of each section was read.
    GoodSectionsRead(Option<GoodSections>),
    /// The records of all fabric domains were read.
    FabricsRead(Option<Vec<(FabricRecord, ObjectVersion)>>),
    /// The list of hosts was read.
    HostsRead(Option<Vec<HostEntry>>),
    /// The hosts that operators are draining were read.
    DrainsRead(Option<DrainList>),
    /// The nodes that run a gateway were counted.
    GatewaysCounted(Option<usize>),
    /// A host was polled.
    HostReported {
        /// Polled host.
        host: HostName,
        /// When the request was sent.
        polled_at: ClockTime,
        /// Its report.
        report: Option<HostReport>,
    },
}

/// Read to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEffect {
    /// Watch the document until it is newer than a version.
    ReadDocument {
        /// Active version.
        after: ObjectVersion,
        /// Instant at which the watch ends.
        deadline: ClockTime,
    },
    /// Read the last good version of each section.
    ReadGoodSections,
    /// Read the records of all fabric domains.
    ReadFabrics,
    /// Read the list of hosts.
    ReadHosts,
    /// Read the hosts that operators are draining.
    ReadDrains,
    /// Count the nodes that run a gateway.
    CountGateways,
    /// Request a host's report.
    PollHost {
        /// Polled host.
        host: HostName,
        /// Address of its endpoint.
        address: SocketAddr,
        /// Instant at which the request times out.
        deadline: ClockTime,
    },
}

/// What the result of a read changed.
#[derive(Debug)]
pub enum WatchChange {
    /// Nothing.
    Nothing,
    /// The active configuration.
    Configuration,
    /// Fabric domains as read, which may include older versions than known ones.
    Fabrics(Vec<(FabricRecord, ObjectVersion)>),
    /// The list of hosts, or which of them are draining.
    Hosts,
    /// The number of nodes that run a gateway.
    GatewayCount,
    /// A host's report.
    Report {
        /// The report.
        report: HostReport,
        /// When the request for it was sent.
        polled_at: ClockTime,
    },
}
