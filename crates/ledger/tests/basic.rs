//! A single ledger state with inputs given one by one.

use base::prelude::*;
use exchange::{HeldRequest, RequestMessage};
use ledger::*;
use store::UpdateOutcome;

/// Request that is never sent.
struct UnsentRequest;

impl RequestMessage for UnsentRequest {}

fn request(call: u64) -> StartRequest {
    StartRequest {
        call: CallId(call),
        key: CallKey {
            workspace: WorkspaceName::new("fogas").unwrap(),
            caller: CallerName::new("desk").unwrap(),
            service: ServiceName::new("foglalas").unwrap(),
            request: IdempotencyKey::new("charge-1").unwrap(),
        },
        digest: RequestDigest::of_call("POST", "/charges", b"{}"),
        deadline: ClockTime::from_millis(10_000),
    }
}

fn response() -> RecordedResponse {
    RecordedResponse {
        status: 201,
        headers: vec![],
        body: RecordedBody::Whole(Arc::from(&b"charged"[..])),
    }
}

fn verdict(effects: &[LedgerEffect]) -> Option<&CallVerdict> {
    effects.iter().find_map(|effect| match effect {
        LedgerEffect::Verdict { verdict, .. } => Some(verdict),
        _ => None,
    })
}

#[test]
fn call_is_sent_after_its_start_record_and_answered_after_its_final_record() {
    let node = NodeName::new("entry-1").unwrap();
    let mut state = LedgerState::new(LedgerSettings::default(), node, 7, 1);
    let now = ClockTime::from_millis;
    let effects = state.begin(request(1), now(1));
    let [LedgerEffect::ReadEpoch, LedgerEffect::ReadShard { shard }] = effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(
        state.complete_read(shard, ShardRead::Missing, now(2)),
        vec![]
    );
    let effects = state.complete_epoch_read(EpochRead::Missing, now(2));
    let [LedgerEffect::WriteShard { expected, .. }] = effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(expected, ObjectVersion(0));
    let applied = UpdateOutcome::Applied(ObjectVersion(1));
    let effects = state.complete_write(shard, applied, now(3));
    assert_eq!(verdict(&effects), Some(&CallVerdict::Send));
    assert!(state.may_send(CallId(1), now(3)));
    let finished = FinishedCall::Answered(response());
    assert_eq!(state.finish(CallId(1), finished, now(4)), vec![]);
    let due = state.next_deadline().unwrap();
    let effects = state.expire(due);
    assert!(matches!(effects[..], [LedgerEffect::WriteShard { .. }]));
    let applied = UpdateOutcome::Applied(ObjectVersion(2));
    let effects = state.complete_write(shard, applied, due);
    assert_eq!(verdict(&effects), Some(&CallVerdict::Response(response())));
    let effects = state.begin(request(2), due);
    assert_eq!(effects.len(), 1);
    assert_eq!(verdict(&effects), Some(&CallVerdict::Response(response())));
}

fn found(version: u64, records: Vec<CallRecord>) -> ShardRead {
    let records = records.into_iter().map(|record| (request(0).key, record));
    ShardRead::Found {
        version: ObjectVersion(version),
        contents: Arc::new(ShardContents {
            records: records.collect(),
        }),
    }
}

fn epoch(version: u64, epoch: u64) -> EpochRead {
    EpochRead::Found {
        version: ObjectVersion(version),
        epoch: LedgerEpoch(epoch),
    }
}

fn written(effects: &[LedgerEffect]) -> Option<&ShardContents> {
    effects.iter().find_map(|effect| match effect {
        LedgerEffect::WriteShard { contents, .. } => Some(contents.as_ref()),
        _ => None,
    })
}

#[test]
fn older_epoch_is_ignored() {
    let node = NodeName::new("entry-1").unwrap();
    let mut state = LedgerState::new(LedgerSettings::default(), node, 7, 1);
    let start = ClockTime::from_millis(1);
    state.begin(request(1), start);
    state.complete_epoch_read(epoch(5, 9), start);
    state.withdraw(CallId(1), HeldRequest::new(UnsentRequest).give_up(), start);
    let due = state.next_deadline().unwrap();
    assert_eq!(state.expire(due), vec![LedgerEffect::ReadEpoch]);
    state.complete_epoch_read(epoch(4, 2), due);
    let mut second = request(2);
    second.deadline = due + Duration::from_secs(1);
    state.begin(second, due);
    let effects = state.complete_read(
        ShardId::of_key(&request(2).key, LedgerSettings::default().shard_count),
        found(1, vec![]),
        due,
    );
    let contents = written(&effects).unwrap();
    assert_eq!(contents.records[&request(2).key].epoch, LedgerEpoch(9));
}

#[test]
fn response_is_not_recorded_over_another_attempt() {
    let settings = LedgerSettings {
        shard_count: 1,
        ..LedgerSettings::default()
    };
    let node = NodeName::new("entry-1").unwrap();
    let mut state = LedgerState::new(settings, node, 7, 1);
    let now = ClockTime::from_millis(1);
    state.begin(request(1), now);
    state.complete_epoch_read(epoch(5, 9), now);
    let effects = state.complete_read(ShardId(0), found(1, vec![]), now);
    let mut record = written(&effects).unwrap().records[&request(1).key].clone();
    let applied = UpdateOutcome::Applied(ObjectVersion(2));
    state.complete_write(ShardId(0), applied, now);
    record.attempt.process = 8;
    let mut other = request(2);
    other.key.request = IdempotencyKey::new("charge-2").unwrap();
    state.begin(other, now);
    let due = state.next_deadline().unwrap();
    state.expire(due);
    state.complete_write(ShardId(0), UpdateOutcome::Conflict, due);
    state.complete_read(ShardId(0), found(3, vec![record.clone()]), due);
    let applied = UpdateOutcome::Applied(ObjectVersion(4));
    state.complete_write(ShardId(0), applied, due);
    state.finish(CallId(1), FinishedCall::Answered(response()), due);
    let due = state.next_deadline().unwrap();
    let effects = state.expire(due);
    assert_eq!(verdict(&effects), Some(&CallVerdict::Response(response())));
    assert_eq!(written(&effects), None);
}
