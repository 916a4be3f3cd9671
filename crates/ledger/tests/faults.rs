//! Crashes, lost replies, conflicts, outages and pauses, one table each.

mod common;

use base::prelude::*;
use common::*;
use futures_util::FutureExt;
use ledger::*;
use store::{ObjectStore, ReadFault, RemoveOutcome, UpdateFault};

const PATIENT: Duration = Duration::from_secs(5);
const RUN_LIMIT: Duration = Duration::from_secs(2);

/// Steps of one call after which its process may die.
const CRASH_POINTS: [&str; 8] = [
    "nothing carried",
    "mark on its way",
    "mark written, reply lost",
    "mark made",
    "sent",
    "answered, not recorded",
    "record on its way",
    "recorded, reply lost",
];

fn bring_to(world: &mut World, point: usize) -> Attempt {
    let attempt = world.ask(0, "order-1", "a", PATIENT);
    if point >= 1 {
        world.arrive(None);
        world.arrive(None);
        world.reply();
        world.reply();
    }
    if point >= 2 {
        world.arrive(None);
    }
    if point >= 3 {
        world.reply();
    }
    if point >= 4 {
        world.send_at(0);
    }
    if point >= 5 {
        world.finish_at(0, true);
    }
    if point >= 6 {
        world.pass(Duration::from_millis(5));
    }
    if point >= 7 {
        world.arrive(None);
    }
    attempt
}

#[test]
fn process_dies_at_every_step() {
    for (point, name) in CRASH_POINTS.iter().enumerate() {
        let mut world = World::new(2);
        let first = bring_to(&mut world, point);
        world.crash(0);
        let second = world.ask(1, "order-1", "a", PATIENT);
        world.settle(Duration::from_millis(200));
        world.serve();
        world.settle(PATIENT);
        let ran = world.runs_of("order-1");
        let told = world.last_verdict(second);
        match point {
            0 => assert_eq!(told, Some(&CallVerdict::Response(answer(0))), "{name}"),
            1..=3 => assert_eq!(
                (ran, told),
                (0, Some(&CallVerdict::OutcomeUnknown)),
                "{name}"
            ),
            4 | 5 => assert_eq!(
                (ran, told),
                (1, Some(&CallVerdict::OutcomeUnknown)),
                "{name}"
            ),
            _ => assert_eq!(told, Some(&CallVerdict::Response(answer(0))), "{name}"),
        }
        let heard = world.last_verdict(first);
        assert!(
            heard.is_none_or(|verdict| *verdict == CallVerdict::Send),
            "{name}"
        );
    }
}

#[test]
fn mark_whose_write_goes_wrong_is_made_once_or_withdrawn() {
    let late = UpdateFault::ArrivesLate(Duration::from_millis(30));
    let faults = [
        UpdateFault::ReplyLost,
        UpdateFault::RequestLost,
        UpdateFault::Conflict,
        late,
    ];
    for fault in faults {
        let mut world = World::new(2);
        let attempt = bring_to(&mut world, 1);
        world.arrive(Some(fault));
        world.settle(Duration::from_millis(200));
        assert_eq!(
            world.last_verdict(attempt),
            Some(&CallVerdict::Send),
            "{fault:?}"
        );
        world.serve();
        world.settle(PATIENT);
        let told = world.last_verdict(attempt);
        assert_eq!(told, Some(&CallVerdict::Response(answer(0))), "{fault:?}");
    }
}

#[test]
fn late_mark_of_a_lapsed_call_is_not_called_unmade() {
    let mut world = World::new(2);
    let attempt = bring_to(&mut world, 1);
    let late = Duration::from_millis(10_000);
    world.arrive(Some(UpdateFault::ArrivesLate(late)));
    world.reply();
    world.store.set_down(true);
    world.settle(PATIENT);
    assert_eq!(
        world.last_verdict(attempt),
        Some(&CallVerdict::OutcomeUnknown)
    );
    world.store.set_down(false);
    world.settle(Duration::from_secs(2));
    assert_eq!(
        world.nodes[0].state.known_calls(),
        0,
        "settled before it arrives"
    );
    world.settle(late);
    // The key was freed by a write on the version that the late mark expected.
    let again = world.ask(1, "order-1", "a", PATIENT);
    world.settle(Duration::from_millis(200));
    assert_eq!(world.last_verdict(again), Some(&CallVerdict::Send));
}

#[test]
fn finish_whose_write_goes_wrong_is_recorded() {
    let late = UpdateFault::ArrivesLate(Duration::from_millis(30));
    let faults = [
        UpdateFault::ReplyLost,
        UpdateFault::RequestLost,
        UpdateFault::Conflict,
        UpdateFault::Unavailable,
        late,
    ];
    for fault in faults {
        let mut world = World::new(2);
        let first = bring_to(&mut world, 6);
        world.arrive(Some(fault));
        world.settle(PATIENT);
        let second = world.ask(1, "order-1", "a", PATIENT);
        world.settle(PATIENT);
        for attempt in [first, second] {
            let told = world.last_verdict(attempt);
            assert_eq!(told, Some(&CallVerdict::Response(answer(0))), "{fault:?}");
        }
    }
}

#[test]
fn store_down_at_every_step() {
    let sent = Some(CallVerdict::Response(answer(0)));
    let refused = Some(CallVerdict::NotRun(NotRunReason::StoreUnavailable));
    let verdicts = [
        refused.clone(),
        refused.clone(),
        sent.clone(),
        sent.clone(),
        sent.clone(),
        sent.clone(),
        sent.clone(),
        sent,
    ];
    for (point, expected) in verdicts.iter().enumerate() {
        let name = CRASH_POINTS[point];
        let mut world = World::new(2);
        let attempt = bring_to(&mut world, point);
        world.store.set_down(true);
        world.drain();
        world.serve();
        world.settle(PATIENT);
        assert_eq!(world.last_verdict(attempt), expected.as_ref(), "{name}");
        world.store.set_down(false);
        world.settle(PATIENT);
        let later = world.ask(1, "order-1", "a", PATIENT);
        world.settle(Duration::from_millis(200));
        world.serve();
        world.settle(PATIENT);
        assert_eq!(
            world.last_verdict(later),
            Some(&CallVerdict::Response(answer(0))),
            "{name}"
        );
    }
}

#[test]
fn calls_during_an_outage_are_refused_without_a_call_to_the_store_each() {
    let mut world = World::new(1);
    world.store.set_down(true);
    for call in 0..100 {
        let attempt = world.ask(0, &format!("order-{call}"), "a", PATIENT);
        world.drain();
        let expected = CallVerdict::NotRun(NotRunReason::StoreUnavailable);
        assert_eq!(world.last_verdict(attempt), Some(&expected));
    }
    assert!(world.store.calls() <= 2, "{} calls", world.store.calls());
}

#[test]
fn three_devices_on_three_nodes_see_one_outcome() {
    let mut world = World::new(3);
    let attempts = [0, 1, 2].map(|node| world.ask(node, "order-1", "a", PATIENT));
    world.settle(Duration::from_millis(100));
    assert_eq!(world.sends.len(), 1);
    world.serve();
    world.settle(PATIENT);
    for attempt in attempts {
        let told = world.last_verdict(attempt);
        assert_eq!(told, Some(&CallVerdict::Response(answer(0))));
    }
}

#[test]
fn three_devices_on_one_node_share_its_calls_to_the_store() {
    let mut world = World::new(1);
    let attempts = [0, 0, 0].map(|node| world.ask(node, "order-1", "a", PATIENT));
    world.settle(Duration::from_millis(100));
    world.serve();
    world.settle(Duration::from_millis(100));
    for attempt in attempts {
        let told = world.last_verdict(attempt);
        assert_eq!(told, Some(&CallVerdict::Response(answer(0))));
    }
    // Two reads, the mark and the answer.
    assert_eq!(world.store.calls(), 4);
}

#[test]
fn impatient_device_hears_that_the_call_is_running() {
    let mut world = World::new(2);
    bring_to(&mut world, 4);
    let impatient = world.ask(1, "order-1", "a", Duration::from_millis(500));
    world.settle(Duration::from_millis(600));
    assert_eq!(
        world.last_verdict(impatient),
        Some(&CallVerdict::StillRunning)
    );
}

#[test]
fn reused_key_is_refused() {
    for node in [0, 1] {
        for (point, name) in CRASH_POINTS.iter().enumerate().skip(4) {
            let mut world = World::new(2);
            bring_to(&mut world, point);
            let other = world.ask(node, "order-1", "b", PATIENT);
            world.settle(Duration::from_millis(500));
            let expected = CallVerdict::NotRun(NotRunReason::KeyReused);
            assert_eq!(world.last_verdict(other), Some(&expected), "{name}");
        }
    }
}

#[test]
fn withdrawn_mark_frees_its_key() {
    let faults = [
        None,
        Some(UpdateFault::ReplyLost),
        Some(UpdateFault::RequestLost),
    ];
    for fault in faults {
        let mut world = World::new(2);
        let first = bring_to(&mut world, 3);
        world.withdraw_at(0);
        world.pass(Duration::from_millis(5));
        assert_eq!(
            world.last_verdict(first),
            Some(&CallVerdict::Send),
            "{fault:?}"
        );
        world.arrive(fault);
        world.settle(Duration::from_millis(200));
        let expected = CallVerdict::NotRun(NotRunReason::Withdrawn);
        assert_eq!(world.last_verdict(first), Some(&expected), "{fault:?}");
        let second = world.ask(1, "order-1", "a", PATIENT);
        world.settle(Duration::from_millis(200));
        assert_eq!(
            world.last_verdict(second),
            Some(&CallVerdict::Send),
            "{fault:?}"
        );
    }
}

#[test]
fn cut_connection_leaves_the_outcome_unknown_for_all() {
    let mut world = World::new(2);
    let first = bring_to(&mut world, 4);
    world.finish_at(0, false);
    world.settle(Duration::from_millis(100));
    let second = world.ask(1, "order-1", "a", PATIENT);
    world.settle(Duration::from_millis(500));
    for attempt in [first, second] {
        assert_eq!(
            world.last_verdict(attempt),
            Some(&CallVerdict::OutcomeUnknown)
        );
    }
}

#[test]
fn process_paused_before_its_first_byte_sends_nothing_after_the_run_limit() {
    let mut world = World::new(2);
    bring_to(&mut world, 3);
    world.nodes[0].paused = true;
    world.settle(RUN_LIMIT);
    world.nodes[0].paused = false;
    world.send_at(0);
    assert_eq!(world.runs_of("order-1"), 0);
}

#[test]
fn key_is_forgotten_only_after_its_retention() {
    let settings = LedgerSettings {
        retention_epochs: 3,
        ..settings()
    };
    let mut world = World::with_settings(2, settings.clone());
    bring_to(&mut world, 7);
    world.settle(Duration::from_millis(100));
    let retention = settings.epoch_length * 3;
    let slice = Duration::from_millis(500);
    let mut kept = Duration::ZERO;
    loop {
        world.settle(slice);
        // Another key's mark rewrites the shard.
        world.ask(1, &format!("other-{}", kept.as_millis()), "a", PATIENT);
        world.settle(slice);
        kept += 2 * slice;
        let probe = world.ask(0, "order-1", "b", PATIENT);
        world.settle(Duration::from_millis(100));
        if world.last_verdict(probe) == Some(&CallVerdict::Send) {
            break;
        }
        assert!(kept < 10 * retention, "the key is never forgotten");
    }
    assert!(kept >= retention, "forgotten after {kept:?}");
}

#[test]
fn full_shard_refuses_new_marks_and_keeps_old_ones() {
    let settings = LedgerSettings {
        mark_limit: 4_000,
        shard_limit: 6_000,
        ..settings()
    };
    let mut world = World::with_settings(1, settings);
    let attempts: Vec<Attempt> = (0..20)
        .map(|call| world.ask(0, &format!("order-{call}"), "a", PATIENT))
        .collect();
    world.settle(Duration::from_millis(100));
    world.serve();
    world.settle(Duration::from_millis(100));
    let full = CallVerdict::NotRun(NotRunReason::ShardFull);
    let refused = attempts
        .iter()
        .filter(|&&attempt| world.last_verdict(attempt) == Some(&full));
    let refused = refused.count();
    assert_eq!(world.runs.len() + refused, 20);
    assert!(refused > 0 && refused < 20, "{refused} refused");
}

#[test]
fn stale_read_does_not_pass_for_a_withdrawal() {
    let settings = LedgerSettings {
        cache_trust: Duration::from_millis(100),
        ..settings()
    };
    let mut world = World::with_settings(2, settings);
    world.ask(0, "order-0", "a", PATIENT);
    world.settle(Duration::from_millis(100));
    world.serve();
    world.settle(Duration::from_millis(100));
    let first = world.ask(0, "order-1", "a", PATIENT);
    world.settle(Duration::from_millis(300));
    world.withdraw_at(0);
    world.arrive_at(0, None, Some(ReadFault::Stale));
    world.reply();
    assert_eq!(world.last_verdict(first), Some(&CallVerdict::Send));
    world.settle(Duration::from_millis(500));
    let expected = CallVerdict::NotRun(NotRunReason::Withdrawn);
    assert_eq!(world.last_verdict(first), Some(&expected));
    let second = world.ask(1, "order-1", "a", PATIENT);
    world.settle(Duration::from_millis(200));
    assert_eq!(world.last_verdict(second), Some(&CallVerdict::Send));
}

#[test]
fn removed_shard_sends_nothing_again_from_a_node_that_saw_it() {
    let mut world = World::new(1);
    bring_to(&mut world, 7);
    world.settle(Duration::from_secs(3));
    let key = ShardId(0).object_key();
    let removed = world.store.remove(&key, ObjectVersion(2)).now_or_never();
    assert_eq!(removed, Some(RemoveOutcome::Removed));
    world.ask(0, "order-1", "a", PATIENT);
    world.settle(PATIENT);
    assert!(world.sends.is_empty());
}

#[test]
fn mark_that_is_seen_after_its_deadline_is_withdrawn() {
    let mut world = World::new(1);
    bring_to(&mut world, 2);
    world.nodes[0].paused = true;
    world.pass(2 * PATIENT);
    world.nodes[0].paused = false;
    world.reply();
    assert!(world.sends.is_empty());
    let again = world.ask(0, "order-1", "a", PATIENT);
    world.settle(Duration::from_millis(200));
    assert_eq!(world.last_verdict(again), Some(&CallVerdict::Send));
}

#[test]
fn call_that_waited_long_for_its_mark_may_still_be_sent() {
    let mut world = World::new(1);
    bring_to(&mut world, 1);
    world.pass(Duration::from_millis(1_500));
    world.arrive(Some(UpdateFault::Conflict));
    world.settle(Duration::from_millis(200));
    world.serve();
    assert_eq!(world.runs_of("order-1"), 1);
}

#[test]
fn key_of_a_withdrawn_call_is_not_taken_as_used() {
    let mut world = World::new(2);
    bring_to(&mut world, 3);
    world.ask(1, "order-2", "a", PATIENT);
    world.settle(Duration::from_millis(100));
    world.withdraw_at(0);
    world.settle(Duration::from_millis(100));
    let other = world.ask(1, "order-1", "b", PATIENT);
    world.settle(Duration::from_millis(200));
    assert_eq!(world.last_verdict(other), Some(&CallVerdict::Send));
}

#[test]
fn node_that_slept_for_epochs_stamps_no_old_mark() {
    let mut world = World::new(1);
    world.ask(0, "warm", "a", PATIENT);
    world.settle(Duration::from_millis(100));
    world.nodes[0].paused = true;
    world.pass(Duration::from_secs(20));
    world.nodes[0].paused = false;
    world.ask(0, "order-1", "a", PATIENT);
    // Of the two reads, the shard's is answered first.
    world.arrive_at(1, None, None);
    world.reply();
    assert_eq!(world.requests.len(), 1, "no mark without a recent epoch");
}
