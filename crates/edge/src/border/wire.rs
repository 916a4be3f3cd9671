//! Encoding of messages between nodes.

use base::prelude::*;
use evacuation::EvacuationSet;
use notices::{ColdWindow, Departure, LeavingReport, LimitReport, RequestRate, ServerRun};
use prost::Message;
use relay::{LaneCounts, SendTarget};
use replicas::{GroupRecord, RecordWire};

use super::crashes::CrashesWire;
use crate::peer::{DemandReport, Digest, NodeWeight, PeerMessage, SlowPace, TargetsVersion};

/// Why bytes can't be decoded as a message.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// They are no valid protobuf message.
    #[error("message can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A name is invalid.
    #[error("message contains an invalid name: {0}")]
    Name(#[from] NameError),
    /// An address is invalid.
    #[error("message contains an invalid address: {0}")]
    Address(#[from] std::net::AddrParseError),
    /// The record of groups can't be decoded.
    #[error("message contains an invalid group record: {0}")]
    Record(String),
    /// The configuration can't be parsed.
    #[error("message contains an invalid configuration: {0}")]
    RoutingConfig(String),
    /// The message has no body.
    #[error("message has no body")]
    Empty,
}

#[derive(Clone, PartialEq, Message)]
struct MessageWire {
    #[prost(oneof = "BodyWire", tags = "1, 2, 3, 4, 5")]
    body: Option<BodyWire>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum BodyWire {
    #[prost(message, boxed, tag = "1")]
    Digest(Box<DigestWire>),
    /// Text of a configuration.
    #[prost(string, tag = "2")]
    RoutingConfig(String),
    #[prost(message, tag = "3")]
    Record(RecordBodyWire),
    #[prost(message, tag = "4")]
    Targets(TargetsWire),
    #[prost(message, tag = "5")]
    Crashes(CrashesWire),
}

#[derive(Clone, PartialEq, Message)]
struct DigestWire {
    #[prost(string, tag = "1")]
    from: String,
    #[prost(uint64, tag = "2")]
    intent_version: u64,
    #[prost(uint64, tag = "3")]
    record_version: u64,
    #[prost(bool, tag = "4")]
    can_own: bool,
    #[prost(message, repeated, tag = "5")]
    counts: Vec<CountWire>,
    #[prost(string, repeated, tag = "6")]
    silent: Vec<String>,
    #[prost(uint64, tag = "7")]
    places_version: u64,
    #[prost(bool, tag = "8")]
    owns: bool,
    #[prost(message, repeated, tag = "9")]
    paces: Vec<PaceWire>,
    #[prost(string, optional, tag = "10")]
    summing_hub: Option<String>,
    #[prost(bool, tag = "11")]
    has_sums: bool,
    #[prost(uint64, tag = "12")]
    forwarded_version: u64,
    #[prost(fixed64, tag = "13")]
    quarantine_hash: u64,
    #[prost(uint32, tag = "14")]
    weight: u32,
    #[prost(message, repeated, tag = "15")]
    limits: Vec<LimitWire>,
    #[prost(message, repeated, tag = "16")]
    leaving: Vec<LeavingWire>,
    #[prost(bool, tag = "17")]
    is_cut_off: bool,
    #[prost(uint64, tag = "18")]
    known_config: u64,
    #[prost(message, repeated, tag = "19")]
    departures: Vec<DepartureWire>,
    #[prost(uint64, tag = "20")]
    received_endpoints: u64,
    #[prost(uint64, tag = "21")]
    received_record: u64,
    /// Age; absent from earlier builds, as the next one.
    #[prost(uint64, optional, tag = "22")]
    store_contact_ms: Option<u64>,
    #[prost(uint64, optional, tag = "23")]
    heard_contact_ms: Option<u64>,
    /// Evacuated failure domains; absent from earlier builds, as the next one.
    #[prost(string, repeated, tag = "24")]
    evacuated: Vec<String>,
    /// Version of the store that they are of; zero if unknown.
    #[prost(uint64, tag = "25")]
    evacuated_as_of: u64,
    /// Absent from earlier builds.
    #[prost(message, repeated, tag = "26")]
    demand: Vec<DemandWire>,
    /// Evacuated failure domains whose names earlier builds take for invalid, with the whole digest.
    #[prost(string, repeated, tag = "27")]
    evacuated_external: Vec<String>,
}

/// Rates in thousandths of a request a second.
#[derive(Clone, PartialEq, Message)]
struct DemandWire {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    model: String,
    #[prost(uint32, tag = "3")]
    arrivals: u32,
    #[prost(uint32, tag = "4")]
    refusals: u32,
    #[prost(uint32, tag = "5")]
    returns: u32,
    #[prost(uint32, tag = "6")]
    priority_tenths: u32,
}

#[derive(Clone, PartialEq, Message)]
struct LeavingWire {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct DepartureWire {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    revision: u64,
    #[prost(uint64, tag = "4")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct LimitWire {
    #[prost(string, tag = "1")]
    server: String,
    /// Requests a second; absent if the server has stopped naming a limit.
    #[prost(double, optional, tag = "2")]
    per_second: Option<f64>,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct PaceWire {
    #[prost(string, tag = "1")]
    head: String,
    /// Percent of the usual time.
    #[prost(uint32, tag = "2")]
    percent: u32,
}

#[derive(Clone, PartialEq, Message)]
struct CountWire {
    #[prost(string, tag = "1")]
    place: String,
    #[prost(uint32, tag = "2")]
    fast: u32,
    #[prost(uint32, tag = "3")]
    slow: u32,
}

#[derive(Clone, PartialEq, Message)]
struct TargetsWire {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(message, repeated, tag = "2")]
    places: Vec<TargetWire>,
    /// Absent from earlier builds, as the next one.
    #[prost(uint64, tag = "3")]
    endpoints_version: u64,
    #[prost(uint64, tag = "4")]
    record_version: u64,
}

#[derive(Clone, PartialEq, Message)]
struct TargetWire {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(string, tag = "2")]
    address: String,
    #[prost(string, tag = "3")]
    zone: String,
    #[prost(string, tag = "4")]
    service: String,
    #[prost(string, optional, tag = "5")]
    model: Option<String>,
    #[prost(uint64, tag = "6")]
    epoch: u64,
    #[prost(uint32, tag = "7")]
    slots: u32,
    #[prost(uint64, tag = "8")]
    incarnation: u64,
    /// Time for which the server remains cold; absent if it is warm, and from earlier builds.
    #[prost(uint64, optional, tag = "9")]
    cold_ms: Option<u64>,
    /// Nodes that may send to it meanwhile.
    #[prost(string, repeated, tag = "10")]
    cold_senders: Vec<String>,
}

#[derive(Clone, PartialEq, Message)]
struct RecordBodyWire {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(string, tag = "2")]
    text: String,
}

/// Encodes a message that is sent at an instant.
pub fn encode_message(message: &PeerMessage, now: ClockTime) -> Vec<u8> {
    message_wire(message, now).encode_to_vec()
}

/// Size of a message that is sent at an instant.
pub(super) fn encoded_size(message: &PeerMessage, now: ClockTime) -> usize {
    message_wire(message, now).encoded_len()
}

fn message_wire(message: &PeerMessage, now: ClockTime) -> MessageWire {
    let body = match message {
        PeerMessage::Digest(digest) => {
            BodyWire::Digest(Box::new(DigestWire::from_digest(digest, now)))
        }
        PeerMessage::RoutingConfig(_, text) => BodyWire::RoutingConfig(text.as_ref().to_owned()),
        PeerMessage::Targets(targets, version) => BodyWire::Targets(TargetsWire {
            version: version.latest.0,
            endpoints_version: version.endpoints.0,
            record_version: version.record.0,
            places: targets
                .iter()
                .map(|target| TargetWire::from_target(target, now))
                .collect(),
        }),
        PeerMessage::Crashes(evidence) => {
            BodyWire::Crashes(CrashesWire::from_evidence(evidence, now))
        }
        PeerMessage::Record(record, version) => BodyWire::Record(RecordBodyWire {
            version: version.0,
            text: serde_json::to_string(&RecordWire::from(record.as_ref()))
                .expect("records have a JSON form"),
        }),
    };
    MessageWire { body: Some(body) }
}

/// Decodes a message that was received at an instant; `parse_config` parses a configuration's
/// text.
pub fn decode_message(
    bytes: &[u8],
    now: ClockTime,
    parse_config: &dyn Fn(&str) -> Result<intent::RoutingConfig, String>,
) -> Result<PeerMessage, MessageError> {
    match MessageWire::decode(bytes)?
        .body
        .ok_or(MessageError::Empty)?
    {
        BodyWire::Digest(wire) => Ok(PeerMessage::Digest(Box::new(wire.into_digest(now)?))),
        BodyWire::RoutingConfig(text) => {
            let config = parse_config(&text).map_err(MessageError::RoutingConfig)?;
            Ok(PeerMessage::RoutingConfig(Arc::new(config), text.into()))
        }
        BodyWire::Targets(wire) => {
            let targets = wire.places.into_iter();
            let targets = targets.map(|target| target.into_target(now));
            let targets: Arc<[SendTarget]> = targets.collect::<Result<_, _>>()?;
            let version =
                targets_version(wire.version, wire.endpoints_version, wire.record_version);
            Ok(PeerMessage::Targets(targets, version))
        }
        BodyWire::Crashes(wire) => Ok(PeerMessage::Crashes(Box::new(wire.into_evidence(now)))),
        BodyWire::Record(wire) => {
            let invalid_record = |reason: String| MessageError::Record(reason);
            let record: RecordWire = serde_json::from_str(&wire.text)
                .map_err(|error| invalid_record(error.to_string()))?;
            let record =
                GroupRecord::try_from(record).map_err(|error| invalid_record(error.to_string()))?;
            Ok(PeerMessage::Record(
                Arc::new(record),
                ObjectVersion(wire.version),
            ))
        }
    }
}

/// Version of targets; a message of an earlier build holds only the first number.
fn targets_version(latest: u64, endpoints: u64, record: u64) -> TargetsVersion {
    if (endpoints, record) == (0, 0) {
        return ObjectVersion(latest).into();
    }
    TargetsVersion {
        latest: ObjectVersion(latest),
        endpoints: ObjectVersion(endpoints),
        record: ObjectVersion(record),
    }
}

impl TargetWire {
    /// Target as sent at an instant.
    fn from_target(target: &SendTarget, now: ClockTime) -> Self {
        let cold = target.cold.as_ref().filter(|cold| cold.until > now);
        let senders = cold.map(|cold| &cold.senders[..]).unwrap_or_default();
        Self {
            cold_ms: cold.map(|cold| cold.until.since(now).as_millis() as u64 + 1),
            cold_senders: (senders.iter())
                .map(|node| node.as_str().to_owned())
                .collect(),
            id: target.id.as_str().to_owned(),
            address: target.address.to_string(),
            zone: target.domain.as_str().to_owned(),
            service: target.service.as_str().to_owned(),
            model: target.model.as_ref().map(|model| model.as_str().to_owned()),
            epoch: target.epoch.0,
            slots: u32::try_from(target.slots).unwrap_or(u32::MAX),
            incarnation: target.incarnation.0,
        }
    }
}

impl TargetWire {
    /// Target as received at an instant.
    fn into_target(self, now: ClockTime) -> Result<SendTarget, MessageError> {
        let wire = self;
        let model = wire.model.as_deref().map(ModelName::external);
        let senders = wire
            .cold_senders
            .iter()
            .map(|node| NodeName::external(node));
        let senders: Arc<[NodeName]> = senders.collect::<Result<_, _>>()?;
        let cold = wire.cold_ms.map(|remaining| ColdWindow {
            until: now + Duration::from_millis(remaining),
            senders,
        });
        Ok(SendTarget {
            cold,
            id: HostName::new(&wire.id)?,
            address: wire.address.parse()?,
            domain: DomainName::external(&wire.zone)?,
            service: ServiceName::external(&wire.service)?,
            model: model.transpose()?,
            epoch: GroupEpoch(wire.epoch),
            slots: wire.slots as usize,
            incarnation: HostIncarnation(wire.incarnation),
        })
    }
}

impl DigestWire {
    /// Digest as sent at an instant.
    fn from_digest(digest: &Digest, now: ClockTime) -> Self {
        let counts = digest.counts.iter().map(|(target, count)| CountWire {
            place: target.as_str().to_owned(),
            fast: count.fast,
            slow: count.slow,
        });
        let paces = digest.slow_groups.iter().map(|(head, pace)| PaceWire {
            head: head.as_str().to_owned(),
            percent: pace.0,
        });
        let limits = digest.limits.iter().map(|report| LimitWire {
            server: report.server.as_str().to_owned(),
            per_second: report.limit.map(RequestRate::per_second),
            age_ms: now.since(report.heard_at).as_millis() as u64,
        });
        let leaving = digest.leaving.iter().map(|report| LeavingWire {
            server: report.run.server.as_str().to_owned(),
            incarnation: report.run.incarnation.0,
            age_ms: now.since(report.heard_at).as_millis() as u64,
        });
        let departures = digest.departures.iter().map(|departure| DepartureWire {
            server: departure.run.server.as_str().to_owned(),
            incarnation: departure.run.incarnation.0,
            revision: departure.revision.0,
            age_ms: now.since(departure.read_at).as_millis() as u64,
        });
        let evacuations = digest.evacuations.iter();
        let evacuated = evacuations.flat_map(|set| set.domains.iter());
        let evacuated = evacuated.map(|domain| domain.as_str().to_owned());
        let (evacuated, evacuated_external) =
            evacuated.partition(|domain| DomainName::new(domain).is_ok());
        let demand = digest.demand.iter().take(DemandReport::MAX_COUNT);
        Self {
            evacuated,
            evacuated_external,
            evacuated_as_of: (digest.evacuations.as_ref()).map_or(0, |set| set.as_of.0),
            demand: demand.map(DemandWire::from).collect(),
            from: digest.from.as_str().to_owned(),
            intent_version: digest.config_version,
            known_config: digest.known_config,
            store_contact_ms: age_ms(digest.store_contact, now),
            heard_contact_ms: age_ms(digest.heard_contact, now),
            record_version: digest.record_version.0,
            can_own: digest.can_own,
            is_cut_off: digest.is_cut_off,
            received_endpoints: (digest.received_version).map_or(0, |version| version.endpoints.0),
            received_record: (digest.received_version).map_or(0, |version| version.record.0),
            places_version: digest.targets_version.0,
            owns: digest.is_owner,
            summing_hub: (digest.summing_hub.as_ref()).map(|hub| hub.as_str().to_owned()),
            has_sums: digest.has_sums,
            forwarded_version: digest.forwarded_version.0,
            quarantine_hash: digest.quarantine_hash,
            weight: digest.weight.0,
            limits: limits.collect(),
            leaving: leaving.collect(),
            departures: departures.collect(),
            counts: counts.collect(),
            paces: paces.collect(),
            silent: digest
                .silent_heads
                .iter()
                .map(|head| head.as_str().to_owned())
                .collect(),
        }
    }
    /// Digest as received at an instant.
    fn into_digest(self, now: ClockTime) -> Result<Digest, NameError> {
        let wire = self;
        let counts = wire.counts.into_iter();
        let counts = counts.map(|wire| {
            let CountWire { place, fast, slow } = wire;
            Ok((HostName::new(&place)?, LaneCounts { fast, slow }))
        });
        let silent_heads = wire.silent.iter().map(|head| HostName::new(head));
        let slow_groups = wire.paces.iter();
        let slow_groups =
            slow_groups.map(|pace| Ok((HostName::new(&pace.head)?, SlowPace(pace.percent))));
        let summing_hub = wire.summing_hub.as_deref().map(NodeName::external);
        let limits = wire.limits.into_iter();
        let limits = limits.map(|wire| wire.into_report(now));
        let leaving = wire.leaving.into_iter();
        let leaving = leaving.map(|wire| wire.into_report(now));
        let departures = wire.departures.into_iter();
        let departures = departures.map(|wire| wire.into_departure(now));
        let evacuated = wire.evacuated.iter().chain(&wire.evacuated_external);
        let evacuated = evacuated.map(|domain| DomainName::external(domain));
        let evacuated = evacuated.collect::<Result<_, NameError>>()?;
        let evacuations = EvacuationSet {
            domains: Arc::new(evacuated),
            as_of: ObjectVersion(wire.evacuated_as_of),
        };
        let demand = wire.demand.into_iter().take(DemandReport::MAX_COUNT);
        let demand = demand.map(DemandReport::try_from);
        Ok(Digest {
            evacuations: evacuations.as_of.exists().then_some(evacuations),
            demand: demand.collect::<Result<_, NameError>>()?,
            from: NodeName::external(&wire.from)?,
            summing_hub: summing_hub.transpose()?,
            has_sums: wire.has_sums,
            forwarded_version: ObjectVersion(wire.forwarded_version),
            received_version: ((wire.received_endpoints, wire.received_record) != (0, 0)).then(
                || {
                    targets_version(
                        wire.forwarded_version,
                        wire.received_endpoints,
                        wire.received_record,
                    )
                },
            ),
            quarantine_hash: wire.quarantine_hash,
            config_version: wire.intent_version,
            // Older builds don't send it.
            known_config: wire.known_config.max(wire.intent_version),
            store_contact: instant_before(wire.store_contact_ms, now),
            heard_contact: instant_before(wire.heard_contact_ms, now),
            record_version: ObjectVersion(wire.record_version),
            can_own: wire.can_own,
            is_cut_off: wire.is_cut_off,
            targets_version: ObjectVersion(wire.places_version),
            is_owner: wire.owns,
            weight: NodeWeight(wire.weight),
            limits: limits.collect::<Result<_, NameError>>()?,
            leaving: leaving.collect::<Result<_, NameError>>()?,
            departures: departures.collect::<Result<_, NameError>>()?,
            counts: counts.collect::<Result<_, NameError>>()?,
            silent_heads: silent_heads.collect::<Result<_, _>>()?,
            slow_groups: slow_groups.collect::<Result<_, NameError>>()?,
        })
    }
}

impl From<&DemandReport> for DemandWire {
    fn from(report: &DemandReport) -> Self {
        Self {
            service: report.service.as_str().to_owned(),
            model: report.model.as_str().to_owned(),
            arrivals: report.arrivals,
            refusals: report.refusals,
            returns: report.returns,
            priority_tenths: report.priority_tenths,
        }
    }
}

impl TryFrom<DemandWire> for DemandReport {
    type Error = NameError;

    fn try_from(wire: DemandWire) -> Result<Self, NameError> {
        Ok(Self {
            service: ServiceName::external(&wire.service)?,
            model: ModelName::external(&wire.model)?,
            arrivals: wire.arrivals,
            returns: wire.returns,
            refusals: wire.refusals,
            priority_tenths: wire.priority_tenths,
        })
    }
}

fn age_ms(instant: Option<ClockTime>, now: ClockTime) -> Option<u64> {
    instant.map(|at| now.since(at).as_millis() as u64)
}

fn instant_before(age_ms: Option<u64>, now: ClockTime) -> Option<ClockTime> {
    age_ms.map(|age_ms| now.before(Duration::from_millis(age_ms)))
}

impl LimitWire {
    /// Report as received at an instant; a number that is no rate counts as no limit.
    fn into_report(self, now: ClockTime) -> Result<LimitReport, NameError> {
        Ok(LimitReport {
            server: HostName::new(&self.server)?,
            limit: self.per_second.and_then(RequestRate::new),
            heard_at: now.before(Duration::from_millis(self.age_ms)),
        })
    }
}

impl LeavingWire {
    /// Report as received at an instant.
    fn into_report(self, now: ClockTime) -> Result<LeavingReport, NameError> {
        Ok(LeavingReport {
            run: ServerRun {
                server: HostName::new(&self.server)?,
                incarnation: HostIncarnation(self.incarnation),
            },
            heard_at: now.before(Duration::from_millis(self.age_ms)),
        })
    }
}

impl DepartureWire {
    /// Departure as received at an instant.
    fn into_departure(self, now: ClockTime) -> Result<Departure, NameError> {
        Ok(Departure {
            run: ServerRun {
                server: HostName::new(&self.server)?,
                incarnation: HostIncarnation(self.incarnation),
            },
            revision: ObjectVersion(self.revision),
            read_at: now.before(Duration::from_millis(self.age_ms)),
        })
    }
}
