//! Messages between nodes as bytes.

use base::prelude::*;
use prost::Message;
use relay::{LaneCounts, SendTarget};
use replicas::{GroupRecord, RecordWire};

use crate::peer::{Digest, PeerMessage, SlowPace};

/// Why bytes are no message.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// They don't decode.
    #[error("the message can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A name in it is none.
    #[error("the message has a bad name: {0}")]
    Name(#[from] NameError),
    /// An address in it is none.
    #[error("the message has a bad address: {0}")]
    Address(#[from] std::net::AddrParseError),
    /// The record in it can't be read.
    #[error("the message has a bad record: {0}")]
    Record(String),
    /// The configuration in it can't be read.
    #[error("the message has a bad configuration: {0}")]
    RoutingConfig(String),
    /// It is empty.
    #[error("the message is empty")]
    Empty,
}

#[derive(Clone, PartialEq, Message)]
struct MessageWire {
    #[prost(oneof = "BodyWire", tags = "1, 2, 3, 4")]
    body: Option<BodyWire>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum BodyWire {
    #[prost(message, tag = "1")]
    Digest(DigestWire),
    /// Text of a configuration.
    #[prost(string, tag = "2")]
    RoutingConfig(String),
    #[prost(message, tag = "3")]
    Record(RecordBodyWire),
    #[prost(message, tag = "4")]
    Places(PlacesWire),
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
}

#[derive(Clone, PartialEq, Message)]
struct PaceWire {
    #[prost(string, tag = "1")]
    head: String,
    /// Hundredths of the usual time.
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
struct PlacesWire {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(message, repeated, tag = "2")]
    places: Vec<PlaceWire>,
}

#[derive(Clone, PartialEq, Message)]
struct PlaceWire {
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
}

#[derive(Clone, PartialEq, Message)]
struct RecordBodyWire {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(string, tag = "2")]
    text: String,
}

/// Bytes of a message.
pub fn encode_message(message: &PeerMessage) -> Vec<u8> {
    let body = match message {
        PeerMessage::Digest(digest) => BodyWire::Digest(DigestWire::from(digest.as_ref())),
        PeerMessage::RoutingConfig(_, text) => BodyWire::RoutingConfig(text.as_ref().to_owned()),
        PeerMessage::Places(places, version) => BodyWire::Places(PlacesWire {
            version: version.0,
            places: places.iter().map(PlaceWire::from).collect(),
        }),
        PeerMessage::Record(record, version) => BodyWire::Record(RecordBodyWire {
            version: version.0,
            text: serde_json::to_string(&RecordWire::from(record.as_ref()))
                .expect("records have a JSON form"),
        }),
    };
    MessageWire { body: Some(body) }.encode_to_vec()
}

/// Message of bytes; `read_intent` reads a configuration's text.
pub fn decode_message(
    bytes: &[u8],
    read_intent: &dyn Fn(&str) -> Result<intent::RoutingConfig, String>,
) -> Result<PeerMessage, MessageError> {
    match MessageWire::decode(bytes)?
        .body
        .ok_or(MessageError::Empty)?
    {
        BodyWire::Digest(wire) => Ok(PeerMessage::Digest(Box::new(Digest::try_from(wire)?))),
        BodyWire::RoutingConfig(text) => {
            let intent = read_intent(&text).map_err(MessageError::RoutingConfig)?;
            Ok(PeerMessage::RoutingConfig(Arc::new(intent), text.into()))
        }
        BodyWire::Places(wire) => {
            let places = wire.places.into_iter().map(SendTarget::try_from);
            let places: Arc<[SendTarget]> = places.collect::<Result<_, _>>()?;
            Ok(PeerMessage::Places(places, ObjectVersion(wire.version)))
        }
        BodyWire::Record(wire) => {
            let fault = |fault: String| MessageError::Record(fault);
            let record: RecordWire =
                serde_json::from_str(&wire.text).map_err(|error| fault(error.to_string()))?;
            let record = GroupRecord::try_from(record).map_err(|error| fault(error.to_string()))?;
            Ok(PeerMessage::Record(
                Arc::new(record),
                ObjectVersion(wire.version),
            ))
        }
    }
}

impl From<&SendTarget> for PlaceWire {
    fn from(place: &SendTarget) -> Self {
        Self {
            id: place.id.as_str().to_owned(),
            address: place.address.to_string(),
            zone: place.domain.as_str().to_owned(),
            service: place.service.as_str().to_owned(),
            model: place.model.as_ref().map(|model| model.as_str().to_owned()),
            epoch: place.epoch.0,
            slots: u32::try_from(place.slots).unwrap_or(u32::MAX),
        }
    }
}

impl TryFrom<PlaceWire> for SendTarget {
    type Error = MessageError;

    fn try_from(wire: PlaceWire) -> Result<Self, MessageError> {
        let model = wire.model.as_deref().map(ModelName::new);
        Ok(Self {
            id: HostName::new(&wire.id)?,
            address: wire.address.parse()?,
            domain: DomainName::new(&wire.zone)?,
            service: ServiceName::new(&wire.service)?,
            model: model.transpose()?,
            epoch: GroupEpoch(wire.epoch),
            slots: wire.slots as usize,
        })
    }
}

impl From<&Digest> for DigestWire {
    fn from(digest: &Digest) -> Self {
        let counts = digest.counts.iter().map(|(place, count)| CountWire {
            place: place.as_str().to_owned(),
            fast: count.fast,
            slow: count.slow,
        });
        let paces = digest.paces.iter().map(|(head, pace)| PaceWire {
            head: head.as_str().to_owned(),
            percent: pace.0,
        });
        Self {
            from: digest.from.as_str().to_owned(),
            intent_version: digest.intent_version,
            record_version: digest.record_version.0,
            can_own: digest.can_own,
            places_version: digest.places_version.0,
            owns: digest.owns,
            counts: counts.collect(),
            paces: paces.collect(),
            silent: digest
                .silent
                .iter()
                .map(|head| head.as_str().to_owned())
                .collect(),
        }
    }
}

impl TryFrom<DigestWire> for Digest {
    type Error = NameError;

    fn try_from(wire: DigestWire) -> Result<Self, NameError> {
        let counts = wire.counts.into_iter();
        let counts = counts.map(|wire| {
            let CountWire { place, fast, slow } = wire;
            Ok((HostName::new(&place)?, LaneCounts { fast, slow }))
        });
        let silent = wire.silent.iter().map(|head| HostName::new(head));
        let paces = wire.paces.iter();
        let paces = paces.map(|pace| Ok((HostName::new(&pace.head)?, SlowPace(pace.percent))));
        Ok(Self {
            from: NodeName::new(&wire.from)?,
            intent_version: wire.intent_version,
            record_version: ObjectVersion(wire.record_version),
            can_own: wire.can_own,
            places_version: ObjectVersion(wire.places_version),
            owns: wire.owns,
            counts: counts.collect::<Result<_, NameError>>()?,
            silent: silent.collect::<Result<_, _>>()?,
            paces: paces.collect::<Result<_, NameError>>()?,
        })
    }
}
