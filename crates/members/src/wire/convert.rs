//! Conversion between encoded messages and the model.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use base::prelude::*;

use super::message::{
    BucketsWire, EntriesWire, EntryWire, FrameWire, ItemWire, ItemsWire, KeyWire, KeysWire,
    MessageWire, RecordWire, RecordsWire, ReportWire, ReportsWire, SummaryWire,
};
use crate::{
    BucketReport, FrameError, GroupCompleteness, GroupLoad, Item, ItemDigest, ItemEntry, ItemKey,
    NodeIncarnation, NodePhase, NodeRecord, ObservationReport, PeerFrame, PeerMessage, PeerSummary,
};

/// Maximum number of elements of a list.
const LIST_LIMIT: usize = 4_096;
/// Highest incarnation accepted; leaves room to refute a record.
const INCARNATION_LIMIT: u64 = 1 << 62;
/// Maximum age of an observation in a report.
const AGE_LIMIT: Duration = Duration::from_secs(86_400);

fn check_list<T>(list: &[T]) -> Result<(), FrameError> {
    if list.len() > LIST_LIMIT {
        return Err(FrameError::LongList {
            length: list.len(),
            limit: LIST_LIMIT,
        });
    }
    Ok(())
}

fn into_wires<M, W: From<M>>(models: Vec<M>) -> Vec<W> {
    models.into_iter().map(W::from).collect()
}

fn into_models<W, M: TryFrom<W, Error = FrameError>>(wires: Vec<W>) -> Result<Vec<M>, FrameError> {
    check_list(&wires)?;
    wires.into_iter().map(M::try_from).collect()
}

fn check_incarnation(incarnation: u64) -> Result<NodeIncarnation, FrameError> {
    if incarnation > INCARNATION_LIMIT {
        let field = "incarnation";
        return Err(FrameError::Field { field });
    }
    Ok(NodeIncarnation(incarnation))
}

impl From<PeerFrame> for FrameWire {
    fn from(frame: PeerFrame) -> Self {
        Self {
            cluster: frame.cluster,
            from: frame.from.into(),
            incarnation: frame.incarnation.0,
            message: Some(frame.message.into()),
        }
    }
}

impl TryFrom<FrameWire> for PeerFrame {
    type Error = FrameError;

    fn try_from(wire: FrameWire) -> Result<Self, FrameError> {
        let message = wire.message.ok_or(FrameError::UnknownMessage)?;
        Ok(Self {
            cluster: wire.cluster,
            from: NodeName::new(&wire.from)?,
            incarnation: check_incarnation(wire.incarnation)?,
            message: message.try_into()?,
        })
    }
}

impl From<PeerMessage> for MessageWire {
    fn from(message: PeerMessage) -> Self {
        match message {
            PeerMessage::Join(record) => Self::Join(record.into()),
            PeerMessage::Nodes(records) => Self::Nodes(RecordsWire {
                records: into_wires(records),
            }),
            PeerMessage::Heartbeat(summary) => Self::Heartbeat(summary.into()),
            PeerMessage::Notice { summary, known } => Self::Heartbeat(SummaryWire {
                known: into_wires(known),
                ..summary.into()
            }),
            PeerMessage::Buckets(report) => Self::Buckets(report.into()),
            PeerMessage::Announce(entries) => Self::Announce(EntriesWire {
                entries: into_wires(entries),
            }),
            PeerMessage::Confirm(keys) => Self::Confirm(keys.into()),
            PeerMessage::Fetch(keys) => Self::Fetch(keys.into()),
            PeerMessage::Items(items) => Self::Items(ItemsWire {
                items: into_wires(items),
            }),
            PeerMessage::Ask(question) => Self::Ask(question),
            PeerMessage::Answer { question, reports } => Self::Answer(ReportsWire {
                question,
                reports: into_wires(reports),
            }),
            PeerMessage::Alert(reports) => Self::Alert(ReportsWire {
                question: 0,
                reports: into_wires(reports),
            }),
        }
    }
}

impl TryFrom<MessageWire> for PeerMessage {
    type Error = FrameError;

    fn try_from(wire: MessageWire) -> Result<Self, FrameError> {
        Ok(match wire {
            MessageWire::Join(record) => Self::Join(record.try_into()?),
            MessageWire::Nodes(wire) => Self::Nodes(into_models(wire.records)?),
            MessageWire::Heartbeat(wire) if wire.known.is_empty() => {
                Self::Heartbeat((&wire).into())
            }
            MessageWire::Heartbeat(wire) => Self::Notice {
                summary: (&wire).into(),
                known: into_models(wire.known)?,
            },
            MessageWire::Buckets(report) => Self::Buckets(report.try_into()?),
            MessageWire::Announce(wire) => Self::Announce(into_models(wire.entries)?),
            MessageWire::Confirm(wire) => Self::Confirm(into_models(wire.keys)?),
            MessageWire::Fetch(wire) => Self::Fetch(into_models(wire.keys)?),
            MessageWire::Items(wire) => Self::Items(into_models(wire.items)?),
            MessageWire::Ask(question) => Self::Ask(question),
            MessageWire::Answer(wire) => Self::Answer {
                question: wire.question,
                reports: into_models(wire.reports)?,
            },
            MessageWire::Alert(wire) => Self::Alert(into_models(wire.reports)?),
        })
    }
}

impl From<NodeRecord> for RecordWire {
    fn from(record: NodeRecord) -> Self {
        let ip = match record.address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        Self {
            node: record.node.into(),
            region: record.region.into(),
            domain: record.domain.into(),
            ip,
            port: u32::from(record.address.port()),
            incarnation: record.incarnation.0,
            refutations: record.refutations,
            phase: record.phase as u32,
        }
    }
}

impl TryFrom<RecordWire> for NodeRecord {
    type Error = FrameError;

    fn try_from(wire: RecordWire) -> Result<Self, FrameError> {
        let phase = match wire.phase {
            0 => NodePhase::Alive,
            1 => NodePhase::Suspect,
            2 => NodePhase::Dead,
            _ => return Err(FrameError::Field { field: "phase" }),
        };
        Ok(Self {
            node: NodeName::new(&wire.node)?,
            region: RegionName::new(&wire.region)?,
            domain: DomainName::new(&wire.domain)?,
            address: read_address(&wire.ip, wire.port)?,
            incarnation: check_incarnation(wire.incarnation)?,
            refutations: wire.refutations,
            phase,
        })
    }
}

fn read_address(ip: &[u8], port: u32) -> Result<SocketAddr, FrameError> {
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        IpAddr::V4(Ipv4Addr::from(octets))
    } else if let Ok(octets) = <[u8; 16]>::try_from(ip) {
        IpAddr::V6(Ipv6Addr::from(octets))
    } else {
        return Err(FrameError::Field { field: "ip" });
    };
    let port = u16::try_from(port).map_err(|_| FrameError::Field { field: "port" })?;
    Ok(SocketAddr::new(ip, port))
}

impl From<PeerSummary> for SummaryWire {
    fn from(summary: PeerSummary) -> Self {
        Self {
            items: summary.items,
            nodes: summary.nodes,
            is_ready: summary.is_ready,
            is_link: summary.is_link,
            known: Vec::new(),
        }
    }
}

impl From<&SummaryWire> for PeerSummary {
    fn from(wire: &SummaryWire) -> Self {
        Self {
            items: wire.items,
            nodes: wire.nodes,
            is_ready: wire.is_ready,
            is_link: wire.is_link,
        }
    }
}

impl From<BucketReport> for BucketsWire {
    fn from(report: BucketReport) -> Self {
        Self {
            items: report.items,
            nodes: report.nodes,
            is_reply: report.is_reply,
        }
    }
}

impl TryFrom<BucketsWire> for BucketReport {
    type Error = FrameError;

    fn try_from(wire: BucketsWire) -> Result<Self, FrameError> {
        check_list(&wire.items)?;
        check_list(&wire.nodes)?;
        Ok(Self {
            items: wire.items,
            nodes: wire.nodes,
            is_reply: wire.is_reply,
        })
    }
}

impl From<Vec<ItemKey>> for KeysWire {
    fn from(keys: Vec<ItemKey>) -> Self {
        Self {
            keys: into_wires(keys),
        }
    }
}

impl From<ItemKey> for KeyWire {
    fn from(key: ItemKey) -> Self {
        match key {
            ItemKey::Section(section) => Self {
                kind: 0,
                name: section.into(),
            },
            ItemKey::Fabric(fabric) => Self {
                kind: 1,
                name: fabric.into(),
            },
        }
    }
}

impl TryFrom<KeyWire> for ItemKey {
    type Error = FrameError;

    fn try_from(wire: KeyWire) -> Result<Self, FrameError> {
        match wire.kind {
            0 => Ok(Self::Section(SectionName::new(&wire.name)?)),
            1 => Ok(Self::Fabric(FabricName::new(&wire.name)?)),
            _ => Err(FrameError::Field { field: "kind" }),
        }
    }
}

fn read_key(key: Option<KeyWire>) -> Result<ItemKey, FrameError> {
    key.ok_or(FrameError::Field { field: "key" })?.try_into()
}

impl From<ItemEntry> for EntryWire {
    fn from(entry: ItemEntry) -> Self {
        Self {
            key: Some(entry.key.into()),
            version: entry.version.0,
            digest: entry.digest.0.to_vec(),
        }
    }
}

impl TryFrom<EntryWire> for ItemEntry {
    type Error = FrameError;

    fn try_from(wire: EntryWire) -> Result<Self, FrameError> {
        let digest = <[u8; 16]>::try_from(wire.digest.as_slice());
        Ok(Self {
            key: read_key(wire.key)?,
            version: ObjectVersion(wire.version),
            digest: ItemDigest(digest.map_err(|_| FrameError::Field { field: "digest" })?),
        })
    }
}

impl From<Item> for ItemWire {
    fn from(item: Item) -> Self {
        Self {
            key: Some(item.key.into()),
            version: item.version.0,
            body: item.body.map(|body| body.as_ref().to_owned()),
        }
    }
}

impl TryFrom<ItemWire> for Item {
    type Error = FrameError;

    fn try_from(wire: ItemWire) -> Result<Self, FrameError> {
        Ok(Self {
            key: read_key(wire.key)?,
            version: ObjectVersion(wire.version),
            body: wire.body.map(Arc::from),
        })
    }
}

impl From<ObservationReport> for ReportWire {
    fn from(report: ObservationReport) -> Self {
        Self {
            group: report.group.into(),
            epoch: report.epoch.0,
            is_complete: report.completeness == GroupCompleteness::Complete,
            running: report.load.running,
            waiting: report.load.waiting,
            age_micros: u64::try_from(report.age.as_micros()).unwrap_or(u64::MAX),
        }
    }
}

impl TryFrom<ReportWire> for ObservationReport {
    type Error = FrameError;

    fn try_from(wire: ReportWire) -> Result<Self, FrameError> {
        let age = Duration::from_micros(wire.age_micros);
        if age > AGE_LIMIT {
            return Err(FrameError::Field {
                field: "age_micros",
            });
        }
        let completeness = if wire.is_complete {
            GroupCompleteness::Complete
        } else {
            GroupCompleteness::Incomplete
        };
        Ok(Self {
            group: GroupName::new(&wire.group)?,
            epoch: GroupEpoch(wire.epoch),
            completeness,
            load: GroupLoad {
                running: wire.running,
                waiting: wire.waiting,
            },
            age,
        })
    }
}
