//! Processor time and size of one write.

use std::time::Instant;

use base::prelude::*;
use ledger::{
    AttemptId, CallPhase, CallRecord, EpochRead, LedgerEffect, LedgerEpoch, LedgerSettings,
    LedgerState, RequestDigest, ShardContents, ShardId, ShardRead, StartRequest, decode_shard,
    encode_shard,
};
use store::{ReadOutcome, StoredObject};

use super::model::{call_key, short_answer};

const ROUNDS: u32 = 200;

/// Measures writes of shards with more and more marks.
pub fn run() {
    println!();
    println!(
        "{:>6} {:>9} {:>10} {:>11} {:>11} {:>11}",
        "marks", "bytes", "bytes/mark", "decide us", "encode us", "decode us"
    );
    for marks in [0, 10, 100, 500, 1_000] {
        print_write(marks);
    }
}

fn print_write(marks: u64) {
    let record = filled_shard(marks);
    let (decide, written) = time(|| write_with(&record));
    let (encode, value) = time(|| encode_shard(&written));
    let (decode, _) = time(|| decode(value.clone()));
    println!(
        "{:>6} {:>9} {:>10} {:>11.0} {:>11.0} {:>11.0}",
        marks,
        value.len(),
        value.len() as u64 / (marks + 1),
        decide,
        encode,
        decode
    );
}

/// Microseconds of one round and its last result.
fn time<T>(mut round: impl FnMut() -> T) -> (f64, T) {
    let mut last = round();
    let start = Instant::now();
    for _ in 0..ROUNDS {
        last = round();
    }
    let micros = start.elapsed().as_secs_f64() * 1e6;
    (micros / f64::from(ROUNDS), last)
}

fn filled_shard(marks: u64) -> Arc<ShardContents> {
    let entries = (1..=marks).map(|call| {
        let mark = CallRecord {
            attempt: AttemptId {
                node: node(),
                process: 0x1234_5678_9abc_def0,
                call: CallId(call),
            },
            digest: digest(),
            epoch: LedgerEpoch(1_000),
            phase: CallPhase::Answered(short_answer()),
        };
        (call_key(CallId(call)), mark)
    });
    Arc::new(ShardContents {
        marks: entries.collect(),
    })
}

/// From a call's arrival to the write of its mark.
fn write_with(record: &Arc<ShardContents>) -> Arc<ShardContents> {
    let settings = LedgerSettings {
        shard_count: 1,
        ..LedgerSettings::default()
    };
    let mut state = LedgerState::new(settings, node(), 7, 1);
    let now = ClockTime::from_millis(1);
    let call = CallId(1_000_000);
    let request = StartRequest {
        call,
        key: call_key(call),
        digest: digest(),
        deadline: now + Duration::from_secs(1),
    };
    state.begin(request, now);
    state.complete_epoch_read(EpochRead::Missing, now);
    let read = ShardRead::Found {
        version: ObjectVersion(1),
        record: record.clone(),
    };
    let effects = state.complete_read(ShardId(0), read, now);
    let written = effects.into_iter().find_map(|effect| match effect {
        LedgerEffect::WriteShard { record, .. } => Some(record),
        _ => None,
    });
    written.expect("a known shard is written")
}

fn decode(value: Arc<str>) -> ShardRead {
    let object = StoredObject {
        key: ShardId(0).object_key(),
        version: ObjectVersion(1),
        value,
    };
    decode_shard(ReadOutcome::Found(object)).expect("it was encoded here")
}

fn node() -> NodeName {
    NodeName::new("entry-1").expect("the name is short")
}

fn digest() -> RequestDigest {
    RequestDigest::of_call("POST", "/charges", b"{}")
}
