//! Encoding and decoding of frames, valid and invalid.

mod common;

use base::prelude::*;
use common::{frame, item, node, peers};
use members::wire::{FRAME_LIMIT, decode_frame, encode_frame};
use members::{
    BucketReport, FrameError, GroupCompleteness, GroupLoad, NodeIncarnation, ObservationReport,
    PeerFrame, PeerMessage, PeerSummary,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const RANDOM_SEED: [u8; 32] = [7; 32];

fn messages() -> Vec<PeerMessage> {
    let removed = members::Item {
        body: None,
        ..item(7, "")
    };
    let report = ObservationReport {
        group: GroupName::new("llm-1").unwrap(),
        epoch: GroupEpoch(3),
        completeness: GroupCompleteness::Incomplete,
        load: GroupLoad {
            running: 4,
            waiting: 2,
        },
        age: Duration::from_millis(20),
    };
    vec![
        PeerMessage::Join(peers().remove(0)),
        PeerMessage::Nodes(peers()),
        PeerMessage::Heartbeat(PeerSummary {
            items: u64::MAX,
            nodes: 1,
            is_ready: true,
            is_link: false,
        }),
        PeerMessage::Notice {
            summary: PeerSummary {
                items: 3,
                nodes: 1,
                is_ready: true,
                is_link: true,
            },
            known: vec![item(6, "six").entry()],
        },
        PeerMessage::Buckets(BucketReport {
            items: vec![1, 2],
            nodes: Vec::new(),
            is_reply: true,
        }),
        PeerMessage::Announce(vec![item(6, "six").entry(), removed.entry()]),
        PeerMessage::Confirm(vec![item(6, "six").key]),
        PeerMessage::Fetch(vec![item(6, "six").key]),
        PeerMessage::Items(vec![item(6, "six"), removed]),
        PeerMessage::Ask(9),
        PeerMessage::Answer {
            question: 9,
            reports: vec![report.clone()],
        },
        PeerMessage::Alert(vec![report]),
    ]
}

#[test]
fn every_message_is_unchanged_by_encoding_and_decoding() {
    for message in messages() {
        let sent = frame("peer-0", message);
        assert_eq!(decode_frame(&encode_frame(sent.clone())), Ok(sent));
    }
}

#[test]
fn invalid_frames_are_rejected_with_an_error() {
    let valid = encode_frame(frame("peer-0", PeerMessage::Ask(1)));
    let unknown = [
        valid[..valid.len() - 9].to_vec(),
        vec![0xf9, 0x01, 0, 0, 0, 0, 0, 0, 0, 0],
    ];
    let highest = PeerFrame {
        incarnation: NodeIncarnation(u64::MAX),
        ..frame("peer-0", PeerMessage::Ask(1))
    };
    let keys = vec![item(1, "").key; 5_000];
    let long = encode_frame(frame("peer-0", PeerMessage::Fetch(keys)));
    let field = FrameError::Field {
        field: "incarnation",
    };
    let cases = [
        (
            "message of a later version",
            unknown.concat(),
            FrameError::UnknownMessage,
        ),
        ("empty frame", Vec::new(), FrameError::UnknownMessage),
        (
            "too large",
            vec![0; FRAME_LIMIT + 1],
            FrameError::Large {
                length: FRAME_LIMIT + 1,
                limit: FRAME_LIMIT,
            },
        ),
        ("highest incarnation", encode_frame(highest), field),
        (
            "long list",
            long,
            FrameError::LongList {
                length: 5_000,
                limit: 4_096,
            },
        ),
    ];
    for (name, bytes, expected) in cases {
        assert_eq!(decode_frame(&bytes), Err(expected), "{name}");
    }
    for cut in 0..valid.len() {
        assert!(
            decode_frame(&valid[..cut]).is_err(),
            "cut after {cut} bytes"
        );
    }
}

#[test]
fn a_field_of_a_later_version_is_ignored() {
    let sent = frame("peer-0", PeerMessage::Ask(1));
    let mut bytes = encode_frame(sent.clone());
    bytes.extend([0xf8, 0x01, 0x2a]);
    assert_eq!(decode_frame(&bytes), Ok(sent));
}

#[test]
fn random_bytes_never_crash_a_node() {
    println!("seed {RANDOM_SEED:?}");
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &RANDOM_SEED);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(512), random);
    let kinds = 0..messages().len();
    let strategy = (
        kinds,
        prop::collection::vec((any::<usize>(), any::<u8>()), 0..6),
    );
    let outcome = runner.run(&strategy, |(kind, changes)| {
        let mut bytes = encode_frame(frame("peer-0", messages().remove(kind)));
        for (index, value) in changes {
            let length = bytes.len();
            bytes[index % length] = value;
        }
        if let Ok(mut frame) = decode_frame(&bytes) {
            frame.from = node("peer-0");
            common::ready().receive(frame, common::after(10));
        }
        Ok(())
    });
    outcome.unwrap();
}
