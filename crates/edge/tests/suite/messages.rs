//! Tests of the encoding of messages between nodes.

use base::prelude::*;
use edge::border::{MessageError, decode_message, encode_message};
use edge::{DemandReport, Digest, PeerMessage, SlowPace, TargetsVersion};

use crate::support::{at, node};
use evacuation::EvacuationSet;
use notices::{ColdWindow, Departure, LeavingReport, LimitReport, RequestRate, ServerRun};
use quarantine::{
    AnswerStage, CrashEvidence, CrashReport, CrashSuspect, PromptPart, RequestDigest, ServerCrash,
    SuspectClearance,
};
use relay::{LaneCounts, SendTarget};
use replicas::{GroupEntry, GroupPhase, GroupRecord, MemberRef};

fn no_config(_text: &str) -> Result<intent::RoutingConfig, String> {
    Err("no configuration expected".to_owned())
}

fn digest() -> Digest {
    Digest {
        from: NodeName::new("edge-1").unwrap(),
        config_version: 7,
        known_config: 7,
        store_contact: Some(at(0)),
        heard_contact: Some(at(0)),
        record_version: ObjectVersion(12),
        targets_version: ObjectVersion(11),
        forwarded_version: ObjectVersion(8),
        received_version: Some(TargetsVersion {
            latest: ObjectVersion(8),
            endpoints: ObjectVersion(6),
            record: ObjectVersion(8),
        }),
        is_owner: true,
        can_own: true,
        is_cut_off: false,
        summing_hub: Some(NodeName::new("n2").unwrap()),
        has_sums: true,
        counts: vec![(
            HostName::new("i-1").unwrap(),
            LaneCounts { fast: 3, slow: 1 },
        )],
        silent_heads: vec![HostName::new("i-2").unwrap()],
        slow_groups: vec![(HostName::new("i-3").unwrap(), SlowPace(480))],
        quarantine_hash: 77,
        weight: edge::NodeWeight(1_000),
        limits: Vec::new(),
        leaving: Vec::new(),
        departures: vec![Departure {
            run: ServerRun {
                server: HostName::new("i-3").unwrap(),
                incarnation: HostIncarnation(4),
            },
            revision: ObjectVersion::in_era(1, 70),
            read_at: at(0),
        }],
        evacuations: Some(EvacuationSet {
            domains: Arc::new([DomainName::new("zone-b").unwrap()].into()),
            as_of: ObjectVersion::in_era(1, 71),
        }),
        demand: vec![DemandReport {
            service: ServiceName::new("models").unwrap(),
            model: ModelName::new("large").unwrap(),
            arrivals: 61_500,
            returns: 8_000,
            refusals: 12_250,
            priority_tenths: 14,
        }],
    }
}

#[test]
fn evacuations_take_a_few_bytes_of_a_digest_and_none_if_there_are_none() {
    let encode = |evacuations| {
        let digest = Digest {
            evacuations,
            ..digest()
        };
        encode_message(&PeerMessage::Digest(Box::new(digest)), at(0))
    };
    let added = |set: &EvacuationSet| encode(Some(set.clone())).len() - encode(None).len();
    // Tag and value of the version, tag, length and text of each name, and the longer lengths.
    let mut set = digest().evacuations.unwrap();
    assert!((11..=19).contains(&added(&set)), "{}", added(&set));
    set.domains = Arc::default();
    assert!(added(&set) <= 10, "{}", added(&set));
    let decoded = decode_message(&encode(None), at(0), &no_config).unwrap();
    let PeerMessage::Digest(decoded) = decoded else {
        panic!("another message: {decoded:?}");
    };
    assert_eq!(decoded.evacuations, None);
}

#[test]
fn a_digest_is_unchanged_after_a_round_trip() {
    let message = PeerMessage::Digest(Box::new(digest()));
    let decoded = decode_message(&encode_message(&message, at(0)), at(0), &no_config).unwrap();
    let PeerMessage::Digest(decoded) = decoded else {
        panic!("another message: {decoded:?}");
    };
    assert_eq!(*decoded, digest());
}

/// Guards against a name in a message that other nodes take for invalid, with the whole message.
#[test]
fn messages_are_unchanged_after_a_round_trip_whatever_the_names() {
    for name in [
        "Kalinga Tactile Services Office",
        "a/b?c#d",
        "\u{e9}\u{1f4be}",
        "\n",
    ] {
        let node = NodeName::external(name).unwrap();
        let domain = DomainName::external(name).unwrap();
        let service = ServiceName::external(name).unwrap();
        let model = ModelName::external(name).unwrap();
        let mut sent = digest();
        sent.from = node.clone();
        sent.summing_hub = Some(node.clone());
        sent.demand[0].service = service.clone();
        sent.demand[0].model = model.clone();
        let domains = [domain.clone(), DomainName::new("zone-b").unwrap()];
        sent.evacuations.as_mut().unwrap().domains = Arc::new(domains.into());
        let message = PeerMessage::Digest(Box::new(sent.clone()));
        let decoded = decode_message(&encode_message(&message, at(0)), at(0), &no_config);
        let Ok(PeerMessage::Digest(received)) = decoded else {
            panic!("{name:?}: {decoded:?}");
        };
        assert_eq!(*received, sent);

        let record = GroupRecord {
            owner: Some(node.clone()),
            next_epoch: GroupEpoch(5),
            groups: vec![GroupEntry {
                name: GroupName::new("g4").unwrap(),
                service: service.clone(),
                model: model.clone(),
                epoch: GroupEpoch(4),
                members: vec![MemberRef {
                    id: HostName::new("i-1").unwrap(),
                    incarnation: HostIncarnation(1),
                }],
                head_address: "10.0.0.1:80".parse().unwrap(),
                phase: GroupPhase::Serving,
            }],
        };
        let message = PeerMessage::Record(Arc::new(record.clone()), ObjectVersion(5));
        let decoded = decode_message(&encode_message(&message, at(0)), at(0), &no_config);
        let Ok(PeerMessage::Record(received, _)) = decoded else {
            panic!("{name:?}: {decoded:?}");
        };
        assert_eq!(*received, record);

        let target = SendTarget {
            id: HostName::new("i-1").unwrap(),
            incarnation: HostIncarnation(1),
            address: "10.0.0.1:80".parse().unwrap(),
            domain,
            service,
            model: Some(model),
            epoch: GroupEpoch(4),
            slots: 17,
            cold: Some(ColdWindow {
                until: at(9_000),
                senders: [node].into(),
            }),
        };
        let version = ObjectVersion(5).into();
        let message = PeerMessage::Targets(Arc::new([target.clone()]), version);
        let decoded = decode_message(&encode_message(&message, at(0)), at(0), &no_config);
        let Ok(PeerMessage::Targets(received, _)) = decoded else {
            panic!("{name:?}: {decoded:?}");
        };
        assert_eq!(received[0].domain, target.domain);
        assert_eq!(received[0].service, target.service);
        assert_eq!(received[0].model, target.model);
        let senders = received[0].cold.as_ref().map(|cold| &cold.senders);
        assert_eq!(senders, target.cold.as_ref().map(|cold| &cold.senders));
    }
}

#[test]
fn a_record_keeps_its_version() {
    let record = Arc::new(GroupRecord {
        owner: Some(NodeName::new("edge-1").unwrap()),
        next_epoch: GroupEpoch(1_001),
        groups: Vec::new(),
    });
    let message = PeerMessage::Record(record.clone(), ObjectVersion(5));
    let decoded = decode_message(&encode_message(&message, at(0)), at(0), &no_config).unwrap();
    let PeerMessage::Record(decoded, version) = decoded else {
        panic!("another message: {decoded:?}");
    };
    assert_eq!((decoded, version), (record, ObjectVersion(5)));
}

#[test]
fn targets_keep_their_version() {
    let target = SendTarget {
        id: HostName::new("i-1").unwrap(),
        incarnation: HostIncarnation(1),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: DomainName::new("zone-a").unwrap(),
        service: ServiceName::new("models").unwrap(),
        model: Some(ModelName::new("large").unwrap()),
        epoch: GroupEpoch(4),
        slots: 17,
        cold: None,
    };
    let targets: Arc<[SendTarget]> = Arc::new([target]);
    let versions = |endpoints, record| TargetsVersion {
        latest: ObjectVersion(5),
        endpoints: ObjectVersion(endpoints),
        record: ObjectVersion(record),
    };
    // An earlier build sends only the first number.
    for (sent, expected) in [
        (versions(4, 5), versions(4, 5)),
        (versions(5, 0), versions(5, 0)),
        (versions(0, 0), versions(5, 5)),
    ] {
        let message = PeerMessage::Targets(targets.clone(), sent);
        let decoded = decode_message(&encode_message(&message, at(0)), at(0), &no_config).unwrap();
        let PeerMessage::Targets(decoded, version) = decoded else {
            panic!("another message: {decoded:?}");
        };
        assert_eq!((decoded, version), (targets.clone(), expected));
    }
}

/// Guards against a cold server that counts as warm at the nodes that rely on the owner.
#[test]
fn a_target_keeps_how_long_it_is_cold_and_who_may_send_to_it() {
    let cold = |until, senders: &[&str]| {
        Some(ColdWindow {
            until: at(until),
            senders: senders.iter().map(|name| node(name)).collect(),
        })
    };
    // What is sent at 1,000 ms, and what arrives at a node whose clock shows 50,000 ms.
    for (sent, expected) in [
        (cold(9_000, &["n1", "n2"]), cold(58_001, &["n1", "n2"])),
        (cold(9_000, &[]), cold(58_001, &[])),
        (cold(1_000, &["n1"]), None),
        (None, None),
    ] {
        let target = SendTarget {
            id: HostName::new("p-1").unwrap(),
            incarnation: HostIncarnation(1),
            address: "10.0.0.1:80".parse().unwrap(),
            domain: DomainName::new("zone-a").unwrap(),
            service: ServiceName::new("plain").unwrap(),
            model: None,
            epoch: GroupEpoch(0),
            slots: 4,
            cold: sent,
        };
        let version = ObjectVersion(5).into();
        let message = PeerMessage::Targets(Arc::new([target]), version);
        let bytes = encode_message(&message, at(1_000));
        let PeerMessage::Targets(decoded, _) =
            decode_message(&bytes, at(50_000), &no_config).unwrap()
        else {
            panic!("another message");
        };
        assert_eq!(decoded[0].cold, expected);
    }
}

#[test]
fn invalid_bytes_are_an_error() {
    let bytes = encode_message(&PeerMessage::Digest(Box::new(digest())), at(0));
    for cut in 1..bytes.len() {
        // A shorter prefix may decode, but only as a digest with fewer fields.
        if let Ok(message) = decode_message(&bytes[..cut], at(0), &no_config) {
            assert!(matches!(message, PeerMessage::Digest(_)));
        }
    }
    assert!(matches!(
        decode_message(&[], at(0), &no_config),
        Err(MessageError::Empty)
    ));
    assert!(decode_message(&[0xff; 40], at(0), &no_config).is_err());
}

#[test]
fn a_configuration_that_cannot_be_parsed_is_an_error() {
    let mut bytes = vec![0x12, 3];
    bytes.extend_from_slice(b"{}x");
    let outcome = decode_message(&bytes, at(0), &no_config);
    assert!(matches!(outcome, Err(MessageError::RoutingConfig(_))));
}

#[test]
fn crash_reports_keep_their_age_at_a_node_with_another_clock() {
    let sent = CrashEvidence {
        reports: [
            CrashSuspect::Part(PromptPart(u64::MAX)),
            CrashSuspect::Request(RequestDigest(9)),
        ]
        .map(|suspect| CrashReport {
            stage: AnswerStage::Begun,
            suspect,
            crash: ServerCrash(7),
            request: RequestDigest(9),
            sent_at: at(3_800),
            seen_at: at(4_000),
        })
        .to_vec(),
        clearances: vec![SuspectClearance {
            suspect: CrashSuspect::Request(RequestDigest(3)),
            cleared_at: at(4_500),
        }],
    };
    let bytes = encode_message(&PeerMessage::Crashes(Box::new(sent.clone())), at(5_000));
    let decoded = decode_message(&bytes, at(905_000), &no_config).unwrap();
    let PeerMessage::Crashes(received) = decoded else {
        panic!("another message: {decoded:?}");
    };
    assert_eq!(received.reports[0].seen_at, at(904_000));
    assert_eq!(received.reports[0].sent_at, at(903_800));
    assert_eq!(received.clearances[0].cleared_at, at(904_500));
    for (received, sent) in received.reports.iter().zip(&sent.reports) {
        assert_eq!(received.suspect, sent.suspect);
        assert_eq!(received.crash, sent.crash);
        assert_eq!(received.request, sent.request);
    }
    assert_eq!(received.reports.len(), sent.reports.len());
    assert_eq!(received.clearances[0].suspect, sent.clearances[0].suspect);
}

#[test]
fn crash_reports_from_before_the_start_of_the_clock_are_not_taken_for_newer_ones() {
    let evidence = CrashEvidence {
        reports: vec![CrashReport {
            stage: AnswerStage::Begun,
            suspect: CrashSuspect::Part(PromptPart(1)),
            crash: ServerCrash(7),
            request: RequestDigest(9),
            sent_at: at(3_800),
            seen_at: at(4_000),
        }],
        clearances: vec![SuspectClearance {
            suspect: CrashSuspect::Part(PromptPart(1)),
            cleared_at: at(3_000),
        }],
    };
    let bytes = encode_message(&PeerMessage::Crashes(Box::new(evidence)), at(20_000));
    let decoded = decode_message(&bytes, at(1_000), &no_config).unwrap();
    assert!(matches!(decoded, PeerMessage::Crashes(received) if received.is_empty()));
}

#[test]
fn crash_reports_take_no_more_bytes_than_they_are_counted_for() {
    let report = CrashReport {
        stage: AnswerStage::Whole,
        suspect: CrashSuspect::Request(RequestDigest(u64::MAX)),
        crash: ServerCrash(u64::MAX),
        request: RequestDigest(u64::MAX),
        sent_at: at(0),
        seen_at: at(0),
    };
    let clearance = SuspectClearance {
        suspect: CrashSuspect::Request(RequestDigest(u64::MAX)),
        cleared_at: at(0),
    };
    for (reports, clearances) in [(1, 0), (0, 1), (100, 0), (0, 100), (500, 500)] {
        let evidence = CrashEvidence {
            reports: vec![report; reports],
            clearances: vec![clearance; clearances],
        };
        let counted = evidence.byte_count();
        let message = PeerMessage::Crashes(Box::new(evidence));
        let encoded = encode_message(&message, at(3_600_000)).len();
        assert!(encoded <= counted, "{encoded} bytes, counted {counted}");
    }
}

#[test]
fn digests_take_no_more_bytes_than_they_are_counted_for() {
    // Runs are numbered by instants of their starts; a store restored once, and two hours of age.
    let heard_at = at(1_000);
    let now = at(7_200_000);
    let run = |index: usize| ServerRun {
        server: HostName::new(&format!("i-{index:010x}")).unwrap(),
        incarnation: HostIncarnation(1_796_000_000_000),
    };
    for count in [0, 1, 20, 160] {
        let limits = (0..count).map(|index| LimitReport {
            server: run(index).server,
            limit: RequestRate::new(12.5),
            heard_at,
        });
        let leaving = (0..count).map(|index| LeavingReport {
            run: run(index),
            heard_at,
        });
        let departures = (0..count).map(|index| Departure {
            run: run(index),
            revision: ObjectVersion::in_era(1, 70_000),
            read_at: heard_at,
        });
        let counts = (0..count).map(|index| (run(index).server, LaneCounts { fast: 200, slow: 9 }));
        let heads = (0..count).map(|index| run(index).server);
        let digest = Digest {
            limits: limits.collect(),
            leaving: leaving.collect(),
            departures: departures.collect(),
            counts: counts.collect(),
            silent_heads: heads.collect(),
            ..digest()
        };
        let estimated = digest.estimated_size();
        let message = PeerMessage::Digest(Box::new(digest));
        let encoded = encode_message(&message, now).len();
        assert!(
            encoded <= estimated && estimated <= encoded * 3 / 2 + 100,
            "{count}: {encoded} bytes, counted as {estimated}"
        );
    }
}
