//! The owner lease during pauses, partitions and shutdown.

mod world;

use std::time::Duration;

use base::prelude::*;
use groups::{FabricEffect, FabricRecord, FabricState, GroupSettings, OwnerLease, RecordOutcome};
use store::UpdateOutcome;
use world::{World, desired, fabric, host};

fn world_with_group(nodes: usize, checks_fencing: bool) -> World {
    let mut world = World::new(nodes, 5, desired(4, 1, checks_fencing));
    world.run_until("the group forms", |world| world.serving(0).len() == 1);
    world.run(Duration::from_secs(10));
    world
}

fn token(world: &World) -> u64 {
    world.stored().unwrap().0.token.0
}

#[test]
fn a_partitioned_holder_is_replaced_by_another_node() {
    struct Case {
        name: &'static str,
        store_cut: bool,
        engines_cut: bool,
    }
    let cases = [
        Case {
            name: "no connection to the store",
            store_cut: true,
            engines_cut: false,
        },
        Case {
            name: "no connection to the members",
            store_cut: false,
            engines_cut: true,
        },
        Case {
            name: "no connection to either",
            store_cut: true,
            engines_cut: true,
        },
    ];
    for case in cases {
        for checks_fencing in [true, false] {
            let mut world = world_with_group(3, checks_fencing);
            let first = world.holder().unwrap();
            world.nodes[first].store_cut = case.store_cut;
            world.nodes[first].engines_cut = case.engines_cut;
            world.run_until("another holds the lease", |world| {
                world.holder().is_some_and(|holder| holder != first)
            });
            assert_eq!(token(&world), 2, "{}", case.name);
            let other = world.holder().unwrap();
            assert_eq!(world.serving(other).len(), 1, "{}", case.name);
            world.nodes[first].store_cut = false;
            world.nodes[first].engines_cut = false;
            world.run(Duration::from_secs(60));
            assert_eq!(token(&world), 2, "{}", case.name);
        }
    }
}

#[test]
fn a_long_outage_of_the_store_stops_changes_but_not_serving() {
    let mut world = world_with_group(2, true);
    world.store.set_down(true);
    for _ in 0..600 {
        world.step();
        assert_eq!(world.serving(0).len(), 1);
        assert_eq!(world.serving(1).len(), 1);
    }
    assert!(world.holder().is_none());
    world.store.set_down(false);
    world.run_until("a node holds the lease again", |world| {
        world.holder().is_some()
    });
    assert_eq!(token(&world), 2);
}

#[test]
fn a_graceful_stop_releases_the_lease() {
    let mut world = world_with_group(2, true);
    let first = world.holder().unwrap();
    let now = world.now;
    let effects = world.nodes[first].state.release(now);
    world.nodes[first].effects.extend(effects);
    world.execute(first);
    world.run(Duration::from_secs(3));
    assert!(world.nodes[first].state.has_released(world.now));
    assert_eq!(
        world.holder(),
        Some(1 - first),
        "the other node does not wait for an expiry"
    );
}

#[test]
fn a_paused_holder_sends_no_late_order() {
    /// When the holder is paused; the check is that of an order's deadline, right
    /// before the border sends it.
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Pause {
        BeforeDeciding,
        BeforeTheCheck,
        AfterTheCheck,
        AfterTheCheckForLong,
    }
    for pause in [
        Pause::BeforeDeciding,
        Pause::BeforeTheCheck,
        Pause::AfterTheCheck,
        Pause::AfterTheCheckForLong,
    ] {
        for checks_fencing in [true, false] {
            let mut world = world_with_group(2, checks_fencing);
            let first = world.holder().unwrap();
            let limit = GroupSettings::default().order_limit;
            world.order_delay = match pause {
                Pause::AfterTheCheck => limit,
                Pause::AfterTheCheckForLong => Duration::from_secs(40),
                Pause::BeforeDeciding | Pause::BeforeTheCheck => world.order_delay,
            };
            force_orders(&mut world, first, pause == Pause::BeforeTheCheck);
            world.nodes[first].paused = true;
            let sent = world.nodes[first].orders_sent;
            world.order_delay = Duration::from_millis(10);
            world.run_until("another holds the lease", |world| {
                world.holder() == Some(1 - first)
            });
            world.resume(first);
            world.run(Duration::from_secs(60));
            assert_eq!(world.nodes[first].orders_sent, sent, "{pause:?}");
            assert_eq!(world.serving(first).len(), 1, "{pause:?}");
            assert_eq!(world.serving(1 - first).len(), 1, "{pause:?}");
        }
    }
}

/// Makes the holder decide on orders; optionally pauses it before the border sends them.
fn force_orders(world: &mut World, holder: usize, pauses_before_effects: bool) {
    let member = world.members()[0][0].clone();
    let engine = world.engines.get_mut(&member).unwrap();
    engine.assignment = None;
    world.nodes[holder].pauses_before_effects = pauses_before_effects;
    world.deliver_input(holder);
    world.tick(holder);
    if pauses_before_effects {
        let effects = &world.nodes[holder].effects;
        assert!(
            effects
                .iter()
                .any(|e| matches!(e, FabricEffect::Order { .. }))
        );
    }
}

#[test]
fn a_new_holder_waits_before_orders_if_engines_ignore_the_token() {
    for checks_fencing in [true, false] {
        let mut world = world_with_group(2, checks_fencing);
        let first = world.holder().unwrap();
        world.nodes[first].paused = true;
        world.run_until("another holds the lease", |world| {
            world.holder() == Some(1 - first)
        });
        let taken_at = world.now;
        let member = world.members()[0][0].clone();
        world.engines.get_mut(&member).unwrap().assignment = None;
        let before = world.nodes[1 - first].orders_sent;
        world.run_until("it sends an order", |world| {
            world.nodes[1 - first].orders_sent > before
        });
        let waited = world.now.since(taken_at);
        let limit = GroupSettings::default().order_limit;
        assert_eq!(waited + world::STEP >= limit, !checks_fencing);
    }
}

#[test]
fn two_nodes_that_plan_the_same_hosts_form_one_group() {
    let mut world = World::new(2, 4, desired(4, 1, true));
    for node in &mut world.nodes {
        node.pauses_before_effects = true;
    }
    world.step();
    world.resume(0);
    world.resume(1);
    world.run_until("the group forms", |world| world.serving(0).len() == 1);
    assert_eq!(world.members().len(), 1);
    assert_eq!(token(&world), 1);
}

#[test]
fn a_restarted_node_does_not_use_its_earlier_lease() {
    let mut world = world_with_group(1, false);
    world.restart_node(0, 9);
    world.run(Duration::from_secs(10));
    assert!(world.holder().is_none());
    world.run_until("it holds the lease again", |world| {
        world.holder() == Some(0)
    });
    assert_eq!(token(&world), 2);
}

fn record_of(holder: &str, renewals: u64) -> FabricRecord {
    let mut record = FabricRecord::new(fabric());
    record.token = FencingToken(1);
    record.nonce = WriteNonce(100 + renewals);
    record.lease = Some(OwnerLease {
        holder: NodeName::new(holder).unwrap(),
        process: 7,
        renewals,
    });
    record
}

fn single_node() -> FabricState {
    let node = NodeName::new("n1").unwrap();
    FabricState::new(fabric(), node, 1, GroupSettings::default(), 1)
}

#[test]
fn older_versions_are_ignored() {
    let mut state = single_node();
    let now = ClockTime::from_millis(1);
    let newer = Some((record_of("n2", 5), ObjectVersion(9)));
    let older = Some((record_of("n2", 4), ObjectVersion(8)));
    assert_eq!(
        state.observe_record(newer.clone(), now),
        RecordOutcome::Updated
    );
    assert_eq!(state.observe_record(older, now), RecordOutcome::Stale);
    assert_eq!(state.observe_record(None, now), RecordOutcome::Stale);
    assert_eq!(state.observe_record(newer, now), RecordOutcome::Unchanged);
    assert_eq!(state.version(), Some(ObjectVersion(9)));
}

#[test]
fn every_observed_renewal_restarts_the_wait() {
    let mut state = single_node();
    let mut now = ClockTime::from_millis(1);
    for renewals in 0..5 {
        let version = ObjectVersion(renewals + 1);
        state.observe_record(Some((record_of("n2", renewals), version)), now);
        assert!(state.tick(now).is_empty());
        now = now + Duration::from_secs(14);
        assert!(state.tick(now).is_empty(), "the lease may still be held");
    }
    now = now + Duration::from_secs(3);
    let effects = state.tick(now);
    let [FabricEffect::Write { record, expected }] = effects.as_slice() else {
        panic!("the lease was not requested: {effects:?}");
    };
    assert_eq!(record.token, FencingToken(2));
    assert_eq!(*expected, ObjectVersion(5));
}

#[test]
fn the_lease_deadline_counts_from_before_the_write_was_sent() {
    let mut state = single_node();
    let sent_at = ClockTime::from_millis(1_000);
    state.observe_record(None, sent_at);
    let effects = state.tick(sent_at);
    let [FabricEffect::Write { record, .. }] = effects.as_slice() else {
        panic!("the lease was not requested: {effects:?}");
    };
    let answered_at = sent_at + Duration::from_secs(3);
    let applied = UpdateOutcome::Applied(ObjectVersion(1));
    state.complete_write(record.nonce, applied, answered_at);
    let expires_at = sent_at + GroupSettings::default().lease_duration;
    assert!(state.holds_lease(ClockTime(expires_at.0 - 1)));
    assert!(!state.holds_lease(expires_at));
}

#[test]
fn a_write_that_took_effect_late_is_recognised_by_its_nonce() {
    let mut state = single_node();
    let sent_at = ClockTime::from_millis(1_000);
    state.observe_record(None, sent_at);
    let effects = state.tick(sent_at);
    let [FabricEffect::Write { record, .. }] = effects.as_slice() else {
        panic!("the lease was not requested: {effects:?}");
    };
    let lost_at = sent_at + Duration::from_secs(2);
    let effects = state.complete_write(record.nonce, UpdateOutcome::Unknown, lost_at);
    assert!(matches!(effects.as_slice(), [FabricEffect::Read { .. }]));
    assert!(!state.holds_lease(lost_at));
    state.observe_record(None, lost_at);
    assert!(!state.holds_lease(lost_at), "no write has taken effect yet");
    let retries = state.tick(lost_at);
    assert!(matches!(retries.as_slice(), [FabricEffect::Write { .. }]));
    state.observe_record(Some((record.clone(), ObjectVersion(1))), lost_at);
    assert!(
        state.holds_lease(lost_at),
        "the first write took effect late"
    );
    let expires_at = sent_at + GroupSettings::default().lease_duration;
    assert!(!state.holds_lease(expires_at));
}

#[test]
fn a_group_does_not_serve_on_expired_reports() {
    let mut world = world_with_group(1, true);
    world.nodes[0].report_delay = Duration::from_secs(4);
    world.run(Duration::from_secs(5));
    assert!(
        world.serving(0).is_empty(),
        "the reports arrive after their validity"
    );
    assert!(world.members()[0].contains(&host(0)));
}

#[test]
fn nodes_with_the_same_seed_distinguish_their_writes() {
    let now = ClockTime::from_millis(1_000);
    let state = |name: &str| {
        let node = NodeName::new(name).unwrap();
        FabricState::new(fabric(), node, 1, GroupSettings::default(), 5)
    };
    let mut nodes = [state("n1"), state("n2")];
    let writes = nodes.each_mut().map(|node| {
        node.observe_record(None, now);
        node.tick(now)
    });
    let [FabricEffect::Write { record, .. }] = writes[0].as_slice() else {
        panic!("the lease was not requested: {writes:?}");
    };
    for node in &mut nodes {
        node.observe_record(Some((record.clone(), ObjectVersion(1))), now);
    }
    assert!(nodes[0].holds_lease(now));
    assert!(!nodes[1].holds_lease(now));
}

#[test]
fn a_lease_taken_after_a_restore_has_a_token_that_no_engine_has_seen() {
    let mut state = single_node();
    let now = ClockTime::from_millis(1);
    let mut newest = record_of("n2", 5);
    newest.token = FencingToken(7);
    state.observe_record(Some((newest, ObjectVersion(9))), now);
    // The copy is from before the last leases.
    let mut copy = record_of("n2", 1);
    copy.token = FencingToken(3);
    copy.lease = None;
    let restored = ObjectVersion::in_era(1, 4);
    assert_eq!(
        state.observe_record(Some((copy, restored)), now),
        RecordOutcome::Updated
    );
    let effects = state.tick(now + Duration::from_secs(60));
    let [FabricEffect::Write { record, expected }] = effects.as_slice() else {
        panic!("the lease was not requested: {effects:?}");
    };
    assert_eq!(*expected, restored);
    assert!(record.token > FencingToken(7), "{:?}", record.token);
}

#[test]
fn a_record_that_a_restored_store_has_lost_does_not_block_the_lease() {
    let mut state = single_node();
    let now = ClockTime::from_millis(1);
    state.observe_record(Some((record_of("n2", 5), ObjectVersion(9))), now);
    let absent = (FabricRecord::new(fabric()), ObjectVersion::in_era(1, 0));
    assert_eq!(
        state.observe_record(Some(absent), now),
        RecordOutcome::Updated
    );
    let effects = state.tick(now + Duration::from_secs(60));
    let [FabricEffect::Write { record, expected }] = effects.as_slice() else {
        panic!("the lease was not requested: {effects:?}");
    };
    assert!(!expected.exists());
    assert!(record.token > FencingToken(1), "{:?}", record.token);
}
