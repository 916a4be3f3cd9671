//! Stored form of a shard.

use base::prelude::*;
use ledger::*;
use store::{ReadOutcome, StoredObject};

fn mark(body: RecordedBody) -> CallRecord {
    CallRecord {
        attempt: AttemptId {
            node: NodeName::new("entry-1").unwrap(),
            process: u64::MAX,
            call: CallId(u64::MAX),
        },
        digest: RequestDigest([0xab; 32]),
        epoch: LedgerEpoch(u64::MAX),
        phase: CallPhase::Answered(RecordedResponse {
            status: u16::MAX,
            headers: vec![RecordedHeader {
                name: Arc::from("content-type"),
                value: Arc::from("text/\"plain\""),
            }],
            body,
        }),
    }
}

fn shard(mark: CallRecord) -> ShardContents {
    let key = CallKey {
        workspace: WorkspaceName::new("w").unwrap(),
        caller: CallerName::new("desk").unwrap(),
        service: ServiceName::new("s").unwrap(),
        request: IdempotencyKey::new("r").unwrap(),
    };
    ShardContents {
        marks: [(key, mark)].into_iter().collect(),
    }
}

fn read(value: Arc<str>) -> Result<ShardRead, LedgerError> {
    decode_shard(ReadOutcome::Found(StoredObject {
        key: ShardId(0).object_key(),
        version: ObjectVersion(3),
        value,
    }))
}

#[test]
fn shards_come_back_whole_and_within_their_bound() {
    let bodies = [
        RecordedBody::Whole(Arc::from(&b"plain \"text\"\n\x01"[..])),
        RecordedBody::Whole(Arc::from(&[0xff, 0x00, 0x80][..])),
        RecordedBody::Omitted { length: u64::MAX },
    ];
    for body in bodies {
        let record = shard(mark(body));
        let value = encode_shard(&record);
        assert!(value.len() <= record.size_bound(), "{value}");
        let found = ShardRead::Found {
            version: ObjectVersion(3),
            record: Arc::new(record),
        };
        assert_eq!(read(value), Ok(found));
    }
}

#[test]
fn many_running_marks_stay_within_their_bound() {
    let mut running = mark(RecordedBody::Omitted { length: 0 });
    running.phase = CallPhase::Running;
    let keys = (0..100).map(|call| CallKey {
        workspace: WorkspaceName::new("w").unwrap(),
        caller: CallerName::new("desk").unwrap(),
        service: ServiceName::new("s").unwrap(),
        request: IdempotencyKey::new(&format!("r{call}")).unwrap(),
    });
    let record = ShardContents {
        marks: keys.map(|key| (key, running.clone())).collect(),
    };
    assert!(encode_shard(&record).len() <= record.size_bound());
}

#[test]
fn spoilt_shards_are_named_as_such() {
    let value = encode_shard(&shard(mark(RecordedBody::Omitted { length: 1 })));
    let digest = Arc::from(value.replace("abab", "abax"));
    assert!(matches!(read(digest), Err(LedgerError::Hexadecimal { .. })));
    let cut = Arc::from(&value[..value.len() - 1]);
    assert!(matches!(read(cut), Err(LedgerError::Syntax { .. })));
}
