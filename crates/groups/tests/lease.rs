//! The owner lease under pauses, partitions and stops.

mod world;

use std::time::Duration;

use base::prelude::*;
use groups::{FabricEffect, FabricRecord, FabricState, GroupSettings, OwnerLease, RecordOutcome};
use store::UpdateOutcome;
use world::{World, fabric, host, target};

fn formed(nodes: usize, checks_fencing: bool) -> World {
    let mut world = World::new(nodes, 5, target(4, 1, checks_fencing));
    world.run_until("the group forms", |world| world.serving(0).len() == 1);
    world.run(Duration::from_secs(10));
    world
}

fn token(world: &World) -> u64 {
    world.stored().unwrap().0.token.0
}

#[test]
fn a_partitioned_holder_is_followed_by_another() {
    struct Case {
        name: &'static str,
        storeless: bool,
        deaf: bool,
    }
    let cases = [
        Case {
            name: "cut off from the store",
            storeless: true,
            deaf: false,
        },
        Case {
            name: "cut off from the members",
            storeless: false,
            deaf: true,
        },
        Case {
            name: "cut off from both",
            storeless: true,
            deaf: true,
        },
    ];
    for case in cases {
        for checks_fencing in [true, false] {
            let mut world = formed(3, checks_fencing);
            let first = world.holder().unwrap();
            world.nodes[first].storeless = case.storeless;
            world.nodes[first].deaf = case.deaf;
            world.run_until("another holds the lease", |world| {
                world.holder().is_some_and(|holder| holder != first)
            });
            assert_eq!(token(&world), 2, "{}", case.name);
            let other = world.holder().unwrap();
            assert_eq!(world.serving(other).len(), 1, "{}", case.name);
            world.nodes[first].storeless = false;
            world.nodes[first].deaf = false;
            world.run(Duration::from_secs(60));
            assert_eq!(token(&world), 2, "{}", case.name);
        }
    }
}

#[test]
fn a_long_outage_of_the_store_stops_changes_but_not_service() {
    let mut world = formed(2, true);
    world.store.set_down(true);
    for _ in 0..600 {
        world.step();
        assert_eq!(world.serving(0).len(), 1);
        assert_eq!(world.serving(1).len(), 1);
    }
    assert!(world.holder().is_none());
    world.store.set_down(false);
    world.run_until("a node owns it again", |world| world.holder().is_some());
    assert_eq!(token(&world), 2);
}

#[test]
fn a_graceful_stop_gives_the_lease_back() {
    let mut world = formed(2, true);
    let first = world.holder().unwrap();
    let now = world.now;
    let effects = world.nodes[first].state.release(now);
    world.nodes[first].effects.extend(effects);
    world.carry(first);
    world.run(Duration::from_secs(3));
    assert!(world.nodes[first].state.has_released(world.now));
    assert_eq!(world.holder(), Some(1 - first), "no lease to wait out");
}

#[test]
fn a_paused_holder_gives_no_late_order() {
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
            let mut world = formed(2, checks_fencing);
            let first = world.holder().unwrap();
            let limit = GroupSettings::default().order_limit;
            world.delay = match pause {
                Pause::AfterTheCheck => limit,
                Pause::AfterTheCheckForLong => Duration::from_secs(40),
                Pause::BeforeDeciding | Pause::BeforeTheCheck => world.delay,
            };
            force_orders(&mut world, first, pause == Pause::BeforeTheCheck);
            world.nodes[first].paused = true;
            let sent = world.nodes[first].orders_sent;
            world.delay = Duration::from_millis(10);
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

/// Makes the holder decide on orders, and stops it before the border acts.
fn force_orders(world: &mut World, holder: usize, halts: bool) {
    let member = world.members()[0][0].clone();
    let engine = world.engines.get_mut(&member).unwrap();
    engine.assignment = None;
    world.nodes[holder].halts = halts;
    world.feed(holder);
    world.act(holder);
    if halts {
        let effects = &world.nodes[holder].effects;
        assert!(
            effects
                .iter()
                .any(|e| matches!(e, FabricEffect::Order { .. }))
        );
    }
}

#[test]
fn a_new_holder_waits_where_engines_ignore_the_token() {
    for checks_fencing in [true, false] {
        let mut world = formed(2, checks_fencing);
        let first = world.holder().unwrap();
        world.nodes[first].paused = true;
        world.run_until("another holds the lease", |world| {
            world.holder() == Some(1 - first)
        });
        let taken_at = world.now;
        let member = world.members()[0][0].clone();
        world.engines.get_mut(&member).unwrap().assignment = None;
        let before = world.nodes[1 - first].orders_sent;
        world.run_until("it gives an order", |world| {
            world.nodes[1 - first].orders_sent > before
        });
        let waited = world.now.since(taken_at);
        let limit = GroupSettings::default().order_limit;
        assert_eq!(waited + world::STEP >= limit, !checks_fencing);
    }
}

#[test]
fn two_nodes_that_claim_one_host_end_in_one_group() {
    let mut world = World::new(2, 4, target(4, 1, true));
    for node in &mut world.nodes {
        node.halts = true;
    }
    world.step();
    world.resume(0);
    world.resume(1);
    world.run_until("the group forms", |world| world.serving(0).len() == 1);
    assert_eq!(world.members().len(), 1);
    assert_eq!(token(&world), 1);
}

#[test]
fn a_restarted_node_does_not_trust_its_old_lease() {
    let mut world = formed(1, false);
    world.restart_node(0, 9);
    world.run(Duration::from_secs(10));
    assert!(world.holder().is_none());
    world.run_until("it owns it again", |world| world.holder() == Some(0));
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

fn lone_node() -> FabricState {
    let node = NodeName::new("n1").unwrap();
    FabricState::new(fabric(), node, 1, GroupSettings::default(), 1)
}

#[test]
fn versions_that_go_back_are_refused() {
    let mut state = lone_node();
    let now = ClockTime::from_millis(1);
    let newer = Some((record_of("n2", 5), ObjectVersion(9)));
    let older = Some((record_of("n2", 4), ObjectVersion(8)));
    assert_eq!(
        state.observe_record(newer.clone(), now),
        RecordOutcome::Taken
    );
    assert_eq!(state.observe_record(older, now), RecordOutcome::Stale);
    assert_eq!(state.observe_record(None, now), RecordOutcome::Stale);
    assert_eq!(state.observe_record(newer, now), RecordOutcome::Same);
    assert_eq!(state.version(), Some(ObjectVersion(9)));
}

#[test]
fn every_renewal_seen_starts_the_wait_anew() {
    let mut state = lone_node();
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
        panic!("no claim: {effects:?}");
    };
    assert_eq!(record.token, FencingToken(2));
    assert_eq!(*expected, ObjectVersion(5));
}

#[test]
fn the_deadline_counts_from_before_the_write_was_sent() {
    let mut state = lone_node();
    let sent_at = ClockTime::from_millis(1_000);
    state.observe_record(None, sent_at);
    let effects = state.tick(sent_at);
    let [FabricEffect::Write { record, .. }] = effects.as_slice() else {
        panic!("no claim: {effects:?}");
    };
    let answered_at = sent_at + Duration::from_secs(3);
    let applied = UpdateOutcome::Applied(ObjectVersion(1));
    state.complete_write(record.nonce, applied, answered_at);
    let end = sent_at + GroupSettings::default().lease_duration;
    assert!(state.holds_lease(ClockTime(end.0 - 1)));
    assert!(!state.holds_lease(end));
}

#[test]
fn a_late_write_that_took_effect_is_recognised_by_its_nonce() {
    let mut state = lone_node();
    let sent_at = ClockTime::from_millis(1_000);
    state.observe_record(None, sent_at);
    let effects = state.tick(sent_at);
    let [FabricEffect::Write { record, .. }] = effects.as_slice() else {
        panic!("no claim: {effects:?}");
    };
    let lost_at = sent_at + Duration::from_secs(2);
    let effects = state.complete_write(record.nonce, UpdateOutcome::Unknown, lost_at);
    assert!(matches!(effects.as_slice(), [FabricEffect::Read { .. }]));
    assert!(!state.holds_lease(lost_at));
    state.observe_record(None, lost_at);
    assert!(!state.holds_lease(lost_at), "nothing took effect yet");
    let retries = state.tick(lost_at);
    assert!(matches!(retries.as_slice(), [FabricEffect::Write { .. }]));
    state.observe_record(Some((record.clone(), ObjectVersion(1))), lost_at);
    assert!(state.holds_lease(lost_at), "the first write landed late");
    let end = sent_at + GroupSettings::default().lease_duration;
    assert!(!state.holds_lease(end));
}

#[test]
fn a_member_is_no_longer_trusted_on_an_old_answer() {
    let mut world = formed(1, true);
    world.nodes[0].lag = Duration::from_secs(4);
    world.run(Duration::from_secs(5));
    assert!(world.serving(0).is_empty(), "answers older than they count");
    assert!(world.members()[0].contains(&host(0)));
}

#[test]
fn nodes_with_the_same_seed_do_not_take_each_other_for_themselves() {
    let now = ClockTime::from_millis(1_000);
    let state = |name: &str| {
        let node = NodeName::new(name).unwrap();
        FabricState::new(fabric(), node, 1, GroupSettings::default(), 5)
    };
    let mut nodes = [state("n1"), state("n2")];
    let claims = nodes.each_mut().map(|node| {
        node.observe_record(None, now);
        node.tick(now)
    });
    let [FabricEffect::Write { record, .. }] = claims[0].as_slice() else {
        panic!("no claim: {claims:?}");
    };
    for node in &mut nodes {
        node.observe_record(Some((record.clone(), ObjectVersion(1))), now);
    }
    assert!(nodes[0].holds_lease(now));
    assert!(!nodes[1].holds_lease(now));
}
