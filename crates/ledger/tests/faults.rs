//! Crashes, lost replies, conflicts, outages and pauses at each step of a call.

mod common;

use base::prelude::*;
use common::*;
use futures_util::FutureExt;
use ledger::*;
use store::{ObjectStore, ReadFault, RemoveOutcome, UpdateFault};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const RUN_TIMEOUT: Duration = Duration::from_secs(2);

/// Steps of one call after which its process may crash.
const CRASH_STEPS: [&str; 8] = [
    "no request delivered",
    "start record in flight",
    "start record written, reply lost",
    "start record known to be written",
    "sent",
    "answered, response not recorded",
    "response in flight to the store",
    "response recorded, reply lost",
];

fn advance_to(simulation: &mut Simulation, step: usize) -> Attempt {
    let attempt = simulation.begin_call(0, "order-1", "a", CALL_TIMEOUT);
    if step >= 1 {
        simulation.deliver_request(None);
        simulation.deliver_request(None);
        simulation.deliver_reply();
        simulation.deliver_reply();
    }
    if step >= 2 {
        simulation.deliver_request(None);
    }
    if step >= 3 {
        simulation.deliver_reply();
    }
    if step >= 4 {
        simulation.send_at(0);
    }
    if step >= 5 {
        simulation.finish_at(0, true);
    }
    if step >= 6 {
        simulation.advance(Duration::from_millis(5));
    }
    if step >= 7 {
        simulation.deliver_request(None);
    }
    attempt
}

#[test]
fn process_crashes_at_every_step() {
    for (step, name) in CRASH_STEPS.iter().enumerate() {
        let mut simulation = Simulation::new(2);
        let first = advance_to(&mut simulation, step);
        simulation.crash(0);
        let second = simulation.begin_call(1, "order-1", "a", CALL_TIMEOUT);
        simulation.run_for(Duration::from_millis(200));
        simulation.complete_all();
        simulation.run_for(CALL_TIMEOUT);
        let ran = simulation.runs_of("order-1");
        let verdict = simulation.last_verdict(second);
        match step {
            0 => assert_eq!(verdict, Some(&CallVerdict::Response(response(0))), "{name}"),
            1..=3 => assert_eq!(
                (ran, verdict),
                (0, Some(&CallVerdict::OutcomeUnknown)),
                "{name}"
            ),
            4 | 5 => assert_eq!(
                (ran, verdict),
                (1, Some(&CallVerdict::OutcomeUnknown)),
                "{name}"
            ),
            _ => assert_eq!(verdict, Some(&CallVerdict::Response(response(0))), "{name}"),
        }
        let first_verdict = simulation.last_verdict(first);
        assert!(
            first_verdict.is_none_or(|verdict| *verdict == CallVerdict::Send),
            "{name}"
        );
    }
}

#[test]
fn start_record_whose_write_fails_is_written_once_or_withdrawn() {
    let late = UpdateFault::ArrivesLate(Duration::from_millis(30));
    let faults = [
        UpdateFault::ReplyLost,
        UpdateFault::RequestLost,
        UpdateFault::Conflict,
        late,
    ];
    for fault in faults {
        let mut simulation = Simulation::new(2);
        let attempt = advance_to(&mut simulation, 1);
        simulation.deliver_request(Some(fault));
        simulation.run_for(Duration::from_millis(200));
        assert_eq!(
            simulation.last_verdict(attempt),
            Some(&CallVerdict::Send),
            "{fault:?}"
        );
        simulation.complete_all();
        simulation.run_for(CALL_TIMEOUT);
        let verdict = simulation.last_verdict(attempt);
        assert_eq!(
            verdict,
            Some(&CallVerdict::Response(response(0))),
            "{fault:?}"
        );
    }
}

#[test]
fn call_past_its_deadline_is_not_reported_as_not_run_while_its_start_record_may_arrive() {
    let mut simulation = Simulation::new(2);
    let attempt = advance_to(&mut simulation, 1);
    let late = Duration::from_millis(10_000);
    simulation.deliver_request(Some(UpdateFault::ArrivesLate(late)));
    simulation.deliver_reply();
    simulation.store.set_down(true);
    simulation.run_for(CALL_TIMEOUT);
    assert_eq!(
        simulation.last_verdict(attempt),
        Some(&CallVerdict::OutcomeUnknown)
    );
    simulation.store.set_down(false);
    simulation.run_for(Duration::from_secs(2));
    assert_eq!(
        simulation.nodes[0].state.call_count(),
        0,
        "resolved before the late update arrives"
    );
    simulation.run_for(late);
    // A write on the version that the late update expected freed the key.
    let again = simulation.begin_call(1, "order-1", "a", CALL_TIMEOUT);
    simulation.run_for(Duration::from_millis(200));
    assert_eq!(simulation.last_verdict(again), Some(&CallVerdict::Send));
}

#[test]
fn response_whose_write_fails_is_recorded() {
    let late = UpdateFault::ArrivesLate(Duration::from_millis(30));
    let faults = [
        UpdateFault::ReplyLost,
        UpdateFault::RequestLost,
        UpdateFault::Conflict,
        UpdateFault::Unavailable,
        late,
    ];
    for fault in faults {
        let mut simulation = Simulation::new(2);
        let first = advance_to(&mut simulation, 6);
        simulation.deliver_request(Some(fault));
        simulation.run_for(CALL_TIMEOUT);
        let second = simulation.begin_call(1, "order-1", "a", CALL_TIMEOUT);
        simulation.run_for(CALL_TIMEOUT);
        for attempt in [first, second] {
            let verdict = simulation.last_verdict(attempt);
            assert_eq!(
                verdict,
                Some(&CallVerdict::Response(response(0))),
                "{fault:?}"
            );
        }
    }
}

#[test]
fn store_fails_at_every_step() {
    let sent = Some(CallVerdict::Response(response(0)));
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
    for (step, expected) in verdicts.iter().enumerate() {
        let name = CRASH_STEPS[step];
        let mut simulation = Simulation::new(2);
        let attempt = advance_to(&mut simulation, step);
        simulation.store.set_down(true);
        simulation.deliver_all();
        simulation.complete_all();
        simulation.run_for(CALL_TIMEOUT);
        assert_eq!(
            simulation.last_verdict(attempt),
            expected.as_ref(),
            "{name}"
        );
        simulation.store.set_down(false);
        simulation.run_for(CALL_TIMEOUT);
        let later = simulation.begin_call(1, "order-1", "a", CALL_TIMEOUT);
        simulation.run_for(Duration::from_millis(200));
        simulation.complete_all();
        simulation.run_for(CALL_TIMEOUT);
        assert_eq!(
            simulation.last_verdict(later),
            Some(&CallVerdict::Response(response(0))),
            "{name}"
        );
    }
}

#[test]
fn calls_during_an_outage_are_refused_without_a_store_request_each() {
    let mut simulation = Simulation::new(1);
    simulation.store.set_down(true);
    for call in 0..100 {
        let attempt = simulation.begin_call(0, &format!("order-{call}"), "a", CALL_TIMEOUT);
        simulation.deliver_all();
        let expected = CallVerdict::NotRun(NotRunReason::StoreUnavailable);
        assert_eq!(simulation.last_verdict(attempt), Some(&expected));
    }
    assert!(
        simulation.store.calls() <= 2,
        "{} calls",
        simulation.store.calls()
    );
}

#[test]
fn three_clients_on_three_nodes_get_one_outcome() {
    let mut simulation = Simulation::new(3);
    let attempts = [0, 1, 2].map(|node| simulation.begin_call(node, "order-1", "a", CALL_TIMEOUT));
    simulation.run_for(Duration::from_millis(100));
    assert_eq!(simulation.sends.len(), 1);
    simulation.complete_all();
    simulation.run_for(CALL_TIMEOUT);
    for attempt in attempts {
        let verdict = simulation.last_verdict(attempt);
        assert_eq!(verdict, Some(&CallVerdict::Response(response(0))));
    }
}

#[test]
fn three_clients_on_one_node_share_its_store_requests() {
    let mut simulation = Simulation::new(1);
    let attempts = [0, 0, 0].map(|node| simulation.begin_call(node, "order-1", "a", CALL_TIMEOUT));
    simulation.run_for(Duration::from_millis(100));
    simulation.complete_all();
    simulation.run_for(Duration::from_millis(100));
    for attempt in attempts {
        let verdict = simulation.last_verdict(attempt);
        assert_eq!(verdict, Some(&CallVerdict::Response(response(0))));
    }
    // Two reads, the start record and the response.
    assert_eq!(simulation.store.calls(), 4);
}

#[test]
fn client_with_a_short_deadline_learns_that_the_call_is_running() {
    let mut simulation = Simulation::new(2);
    advance_to(&mut simulation, 4);
    let short = simulation.begin_call(1, "order-1", "a", Duration::from_millis(500));
    simulation.run_for(Duration::from_millis(600));
    assert_eq!(
        simulation.last_verdict(short),
        Some(&CallVerdict::StillRunning)
    );
}

#[test]
fn reused_key_is_refused() {
    for node in [0, 1] {
        for (step, name) in CRASH_STEPS.iter().enumerate().skip(4) {
            let mut simulation = Simulation::new(2);
            advance_to(&mut simulation, step);
            let other = simulation.begin_call(node, "order-1", "b", CALL_TIMEOUT);
            simulation.run_for(Duration::from_millis(500));
            let expected = CallVerdict::NotRun(NotRunReason::KeyReused);
            assert_eq!(simulation.last_verdict(other), Some(&expected), "{name}");
        }
    }
}

#[test]
fn withdrawn_call_frees_its_key() {
    let faults = [
        None,
        Some(UpdateFault::ReplyLost),
        Some(UpdateFault::RequestLost),
    ];
    for fault in faults {
        let mut simulation = Simulation::new(2);
        let first = advance_to(&mut simulation, 3);
        simulation.withdraw_at(0);
        simulation.advance(Duration::from_millis(5));
        assert_eq!(
            simulation.last_verdict(first),
            Some(&CallVerdict::Send),
            "{fault:?}"
        );
        simulation.deliver_request(fault);
        simulation.run_for(Duration::from_millis(200));
        let expected = CallVerdict::NotRun(NotRunReason::Withdrawn);
        assert_eq!(simulation.last_verdict(first), Some(&expected), "{fault:?}");
        let second = simulation.begin_call(1, "order-1", "a", CALL_TIMEOUT);
        simulation.run_for(Duration::from_millis(200));
        assert_eq!(
            simulation.last_verdict(second),
            Some(&CallVerdict::Send),
            "{fault:?}"
        );
    }
}

#[test]
fn cut_connection_leaves_the_outcome_unknown_for_all_clients() {
    let mut simulation = Simulation::new(2);
    let first = advance_to(&mut simulation, 4);
    simulation.finish_at(0, false);
    simulation.run_for(Duration::from_millis(100));
    let second = simulation.begin_call(1, "order-1", "a", CALL_TIMEOUT);
    simulation.run_for(Duration::from_millis(500));
    for attempt in [first, second] {
        assert_eq!(
            simulation.last_verdict(attempt),
            Some(&CallVerdict::OutcomeUnknown)
        );
    }
}

#[test]
fn process_paused_before_its_first_byte_sends_nothing_after_the_run_timeout() {
    let mut simulation = Simulation::new(2);
    advance_to(&mut simulation, 3);
    simulation.nodes[0].paused = true;
    simulation.run_for(RUN_TIMEOUT);
    simulation.nodes[0].paused = false;
    simulation.send_at(0);
    assert_eq!(simulation.runs_of("order-1"), 0);
}

#[test]
fn key_expires_only_after_its_retention() {
    let settings = LedgerSettings {
        retention_epochs: 3,
        ..settings()
    };
    let mut simulation = Simulation::with_settings(2, settings.clone());
    advance_to(&mut simulation, 7);
    simulation.run_for(Duration::from_millis(100));
    let retention = settings.epoch_duration * 3;
    let slice = Duration::from_millis(500);
    let mut elapsed = Duration::ZERO;
    loop {
        simulation.run_for(slice);
        // The record of another key rewrites the shard.
        simulation.begin_call(
            1,
            &format!("other-{}", elapsed.as_millis()),
            "a",
            CALL_TIMEOUT,
        );
        simulation.run_for(slice);
        elapsed += 2 * slice;
        let probe = simulation.begin_call(0, "order-1", "b", CALL_TIMEOUT);
        simulation.run_for(Duration::from_millis(100));
        if simulation.last_verdict(probe) == Some(&CallVerdict::Send) {
            break;
        }
        assert!(elapsed < 10 * retention, "the key never expires");
    }
    assert!(elapsed >= retention, "expired after {elapsed:?}");
}

#[test]
fn full_shard_refuses_new_records_and_keeps_old_ones() {
    let settings = LedgerSettings {
        max_shard_bytes_for_records: 4_000,
        max_shard_bytes_for_bodies: 6_000,
        ..settings()
    };
    let mut simulation = Simulation::with_settings(1, settings);
    let attempts: Vec<Attempt> = (0..20)
        .map(|call| simulation.begin_call(0, &format!("order-{call}"), "a", CALL_TIMEOUT))
        .collect();
    simulation.run_for(Duration::from_millis(100));
    simulation.complete_all();
    simulation.run_for(Duration::from_millis(100));
    let full = CallVerdict::NotRun(NotRunReason::ShardFull);
    let refused = attempts
        .iter()
        .filter(|&&attempt| simulation.last_verdict(attempt) == Some(&full));
    let refused = refused.count();
    assert_eq!(simulation.runs.len() + refused, 20);
    assert!(refused > 0 && refused < 20, "{refused} refused");
}

#[test]
fn stale_read_is_not_taken_for_a_withdrawal() {
    let settings = LedgerSettings {
        cache_validity: Duration::from_millis(100),
        ..settings()
    };
    let mut simulation = Simulation::with_settings(2, settings);
    simulation.begin_call(0, "order-0", "a", CALL_TIMEOUT);
    simulation.run_for(Duration::from_millis(100));
    simulation.complete_all();
    simulation.run_for(Duration::from_millis(100));
    let first = simulation.begin_call(0, "order-1", "a", CALL_TIMEOUT);
    simulation.run_for(Duration::from_millis(300));
    simulation.withdraw_at(0);
    simulation.deliver_request_at(0, None, Some(ReadFault::Stale));
    simulation.deliver_reply();
    assert_eq!(simulation.last_verdict(first), Some(&CallVerdict::Send));
    simulation.run_for(Duration::from_millis(500));
    let expected = CallVerdict::NotRun(NotRunReason::Withdrawn);
    assert_eq!(simulation.last_verdict(first), Some(&expected));
    let second = simulation.begin_call(1, "order-1", "a", CALL_TIMEOUT);
    simulation.run_for(Duration::from_millis(200));
    assert_eq!(simulation.last_verdict(second), Some(&CallVerdict::Send));
}

#[test]
fn call_is_not_sent_again_by_a_node_that_saw_its_removed_shard() {
    let mut simulation = Simulation::new(1);
    advance_to(&mut simulation, 7);
    simulation.run_for(Duration::from_secs(3));
    let key = ShardId(0).object_key();
    let removed = simulation
        .store
        .remove(&key, ObjectVersion(2))
        .now_or_never();
    assert_eq!(removed, Some(RemoveOutcome::Removed));
    simulation.begin_call(0, "order-1", "a", CALL_TIMEOUT);
    simulation.run_for(CALL_TIMEOUT);
    assert!(simulation.sends.is_empty());
}

#[test]
fn start_record_that_is_confirmed_after_its_deadline_is_withdrawn() {
    let mut simulation = Simulation::new(1);
    advance_to(&mut simulation, 2);
    simulation.nodes[0].paused = true;
    simulation.advance(2 * CALL_TIMEOUT);
    simulation.nodes[0].paused = false;
    simulation.deliver_reply();
    assert!(simulation.sends.is_empty());
    let again = simulation.begin_call(0, "order-1", "a", CALL_TIMEOUT);
    simulation.run_for(Duration::from_millis(200));
    assert_eq!(simulation.last_verdict(again), Some(&CallVerdict::Send));
}

#[test]
fn call_that_waited_long_for_its_start_record_may_still_be_sent() {
    let mut simulation = Simulation::new(1);
    advance_to(&mut simulation, 1);
    simulation.advance(Duration::from_millis(1_500));
    simulation.deliver_request(Some(UpdateFault::Conflict));
    simulation.run_for(Duration::from_millis(200));
    simulation.complete_all();
    assert_eq!(simulation.runs_of("order-1"), 1);
}

#[test]
fn key_of_a_withdrawn_call_is_not_reported_as_reused() {
    let mut simulation = Simulation::new(2);
    advance_to(&mut simulation, 3);
    simulation.begin_call(1, "order-2", "a", CALL_TIMEOUT);
    simulation.run_for(Duration::from_millis(100));
    simulation.withdraw_at(0);
    simulation.run_for(Duration::from_millis(100));
    let other = simulation.begin_call(1, "order-1", "b", CALL_TIMEOUT);
    simulation.run_for(Duration::from_millis(200));
    assert_eq!(simulation.last_verdict(other), Some(&CallVerdict::Send));
}

#[test]
fn node_paused_for_several_epochs_writes_no_record_with_an_old_epoch() {
    let mut simulation = Simulation::new(1);
    simulation.begin_call(0, "warm", "a", CALL_TIMEOUT);
    simulation.run_for(Duration::from_millis(100));
    simulation.nodes[0].paused = true;
    simulation.advance(Duration::from_secs(20));
    simulation.nodes[0].paused = false;
    simulation.begin_call(0, "order-1", "a", CALL_TIMEOUT);
    // The read of the shard is answered before that of the epoch.
    simulation.deliver_request_at(1, None, None);
    simulation.deliver_reply();
    assert_eq!(
        simulation.requests.len(),
        1,
        "no record without a recent epoch"
    );
}
