//! Processor time and size of the write of one shard.

use std::time::Instant;

use base::prelude::*;
use ledger::{
    AttemptId, CallPhase, CallRecord, EpochRead, LedgerEffect, LedgerEpoch, LedgerSettings,
    LedgerState, RequestDigest, ShardContents, ShardId, ShardRead, StartRequest, decode_shard,
    encode_shard,
};
use store::{ReadOutcome, StoredObject};

use super::simulation::{call_key, sample_response};

const ROUNDS: u32 = 200;

/// Measures writes of shards by their number of records.
pub fn run() {
    println!();
    println!(
        "{:>6} {:>9} {:>10} {:>11} {:>11} {:>11}",
        "marks", "bytes", "bytes/mark", "decide us", "encode us", "decode us"
    );
    for record_count in [0, 10, 100, 500, 1_000] {
        print_write(record_count);
    }
}

fn print_write(record_count: u64) {
    let contents = filled_shard(record_count);
    let (decide, written) = measure(|| decide_write(&contents));
    let (encode, value) = measure(|| encode_shard(&written));
    let (decode, _) = measure(|| decode(value.clone()));
    println!(
        "{:>6} {:>9} {:>10} {:>11.0} {:>11.0} {:>11.0}",
        record_count,
        value.len(),
        value.len() as u64 / (record_count + 1),
        decide,
        encode,
        decode
    );
}

/// Mean time of a round in microseconds, and the result of the last one.
fn measure<T>(mut round: impl FnMut() -> T) -> (f64, T) {
    let mut last = round();
    let start = Instant::now();
    for _ in 0..ROUNDS {
        last = round();
    }
    let micros = start.elapsed().as_secs_f64() * 1e6;
    (micros / f64::from(ROUNDS), last)
}

fn filled_shard(record_count: u64) -> Arc<ShardContents> {
    let entries = (1..=record_count).map(|call| {
        let record = CallRecord {
            attempt: AttemptId {
                node: node(),
                process: 0x1234_5678_9abc_def0,
                call: CallId(call),
            },
            digest: digest(),
            epoch: LedgerEpoch(1_000),
            phase: CallPhase::Answered(sample_response()),
        };
        (call_key(CallId(call)), record)
    });
    Arc::new(ShardContents {
        records: entries.collect(),
    })
}

/// Decides on a call from its arrival to the write of its record; returns the written shard.
fn decide_write(contents: &Arc<ShardContents>) -> Arc<ShardContents> {
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
        contents: contents.clone(),
    };
    let effects = state.complete_read(ShardId(0), read, now);
    let written = effects.into_iter().find_map(|effect| match effect {
        LedgerEffect::WriteShard { contents, .. } => Some(contents),
        _ => None,
    });
    written.expect("a shard that was read is written")
}

fn decode(value: Arc<str>) -> ShardRead {
    let object = StoredObject {
        key: ShardId(0).object_key(),
        version: ObjectVersion(1),
        value,
    };
    decode_shard(ReadOutcome::Found(object))
        .expect("the shard was encoded by this function's caller")
}

fn node() -> NodeName {
    NodeName::new("entry-1").expect("the name is short")
}

fn digest() -> RequestDigest {
    RequestDigest::of_call("POST", "/charges", b"{}")
}
