//! One call from its request to its recorded answer.

use base::prelude::*;
use ledger::*;
use store::UpdateOutcome;

fn request(call: u64) -> MarkRequest {
    MarkRequest {
        call: CallId(call),
        key: MarkKey {
            workspace: WorkspaceName::new("fogas").unwrap(),
            service: ServiceName::new("foglalas").unwrap(),
            request: RequestKey::new("charge-1").unwrap(),
        },
        digest: RequestDigest::of_call("POST", "/charges", b"{}"),
        deadline: ClockTime::from_millis(10_000),
    }
}

fn answer() -> RecordedAnswer {
    RecordedAnswer {
        status: 201,
        headers: vec![],
        body: AnswerBody::Whole(Arc::from(&b"charged"[..])),
    }
}

fn verdict(effects: &[LedgerEffect]) -> Option<&CallVerdict> {
    effects.iter().find_map(|effect| match effect {
        LedgerEffect::Verdict { verdict, .. } => Some(verdict),
        _ => None,
    })
}

#[test]
fn call_is_sent_after_its_mark_and_answered_after_its_record() {
    let node = NodeName::new("entry-1").unwrap();
    let mut state = LedgerState::new(LedgerSettings::default(), node, 7, 1);
    let now = ClockTime::from_millis;
    let effects = state.begin(request(1), now(1));
    let [LedgerEffect::ReadEpoch, LedgerEffect::ReadShard { shard }] = effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(
        state.conclude_read(shard, ShardRead::Missing, now(2)),
        vec![]
    );
    let effects = state.conclude_epoch_read(EpochRead::Missing, now(2));
    let [LedgerEffect::WriteShard { expected, .. }] = effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(expected, ObjectVersion(0));
    let applied = UpdateOutcome::Applied(ObjectVersion(1));
    let effects = state.conclude_write(shard, applied, now(3));
    assert_eq!(verdict(&effects), Some(&CallVerdict::Send));
    assert!(state.may_send(CallId(1), now(3)));
    let finished = FinishedCall::Answered(answer());
    assert_eq!(state.finish(CallId(1), finished, now(4)), vec![]);
    let due = state.next_deadline().unwrap();
    let effects = state.expire(due);
    assert!(matches!(effects[..], [LedgerEffect::WriteShard { .. }]));
    let applied = UpdateOutcome::Applied(ObjectVersion(2));
    let effects = state.conclude_write(shard, applied, due);
    assert_eq!(verdict(&effects), Some(&CallVerdict::Answer(answer())));
    let effects = state.begin(request(2), due);
    assert_eq!(effects.len(), 1);
    assert_eq!(verdict(&effects), Some(&CallVerdict::Answer(answer())));
}
