//! Messages between nodes as bytes.

use base::prelude::*;
use edge::border::{MessageError, decode_message, encode_message};
use edge::{Digest, PeerMessage, SlowPace};
use relay::{LaneCounts, SendTarget};
use replicas::GroupRecord;

fn no_intent(_text: &str) -> Result<intent::RoutingConfig, String> {
    Err("no configuration expected".to_owned())
}

fn digest() -> Digest {
    Digest {
        from: NodeName::new("edge-1").unwrap(),
        intent_version: 7,
        record_version: ObjectVersion(12),
        places_version: ObjectVersion(11),
        owns: true,
        can_own: true,
        counts: vec![(
            HostName::new("i-1").unwrap(),
            LaneCounts { fast: 3, slow: 1 },
        )],
        silent: vec![HostName::new("i-2").unwrap()],
        paces: vec![(HostName::new("i-3").unwrap(), SlowPace(480))],
    }
}

#[test]
fn a_digest_survives_its_bytes() {
    let message = PeerMessage::Digest(Box::new(digest()));
    let decoded = decode_message(&encode_message(&message), &no_intent).unwrap();
    let PeerMessage::Digest(decoded) = decoded else {
        panic!("another message: {decoded:?}");
    };
    assert_eq!(*decoded, digest());
}

#[test]
fn a_record_keeps_its_version() {
    let record = Arc::new(GroupRecord {
        owner: Some(NodeName::new("edge-1").unwrap()),
        next_epoch: GroupEpoch(1_001),
        groups: Vec::new(),
    });
    let message = PeerMessage::Record(record.clone(), ObjectVersion(5));
    let decoded = decode_message(&encode_message(&message), &no_intent).unwrap();
    let PeerMessage::Record(decoded, version) = decoded else {
        panic!("another message: {decoded:?}");
    };
    assert_eq!((decoded, version), (record, ObjectVersion(5)));
}

#[test]
fn places_keep_their_version() {
    let place = SendTarget {
        id: HostName::new("i-1").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: DomainName::new("zone-a").unwrap(),
        service: ServiceName::new("models").unwrap(),
        model: Some(ModelName::new("large").unwrap()),
        epoch: GroupEpoch(4),
        slots: 17,
    };
    let places: Arc<[SendTarget]> = Arc::new([place]);
    let message = PeerMessage::Places(places.clone(), ObjectVersion(5));
    let decoded = decode_message(&encode_message(&message), &no_intent).unwrap();
    let PeerMessage::Places(decoded, version) = decoded else {
        panic!("another message: {decoded:?}");
    };
    assert_eq!((decoded, version), (places, ObjectVersion(5)));
}

#[test]
fn spoiled_bytes_are_an_error_and_never_a_message() {
    let bytes = encode_message(&PeerMessage::Digest(Box::new(digest())));
    for cut in 1..bytes.len() {
        // A shorter prefix may decode, but then as a digest with less in it.
        if let Ok(message) = decode_message(&bytes[..cut], &no_intent) {
            assert!(matches!(message, PeerMessage::Digest(_)));
        }
    }
    assert!(matches!(
        decode_message(&[], &no_intent),
        Err(MessageError::Empty)
    ));
    assert!(decode_message(&[0xff; 40], &no_intent).is_err());
}

#[test]
fn a_configuration_that_cannot_be_read_is_an_error() {
    let mut bytes = vec![0x12, 3];
    bytes.extend_from_slice(b"{}x");
    let outcome = decode_message(&bytes, &no_intent);
    assert!(matches!(outcome, Err(MessageError::RoutingConfig(_))));
}
