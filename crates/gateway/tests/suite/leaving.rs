//! Leaving endpoints get no new calls and keep their calls in flight.

use std::collections::BTreeSet;

use base::prelude::*;
use gateway::{AttemptEnd, CallStep};
use groups::MemberPhase;
use interface::{DrainList, Presence};
use watch::WatchEvent;

use crate::fleet::{BOOKING_SERVICE, DESK_KEY, ENGINES, Fleet, SERVERS};
use crate::harness::{Harness, model_call, plain_call};

/// Way in which a gateway is informed that an engine is leaving.
type AnnounceLeaving = fn(&mut Harness, &mut Fleet);

fn drain(harness: &mut Harness, hosts: &[&str]) {
    let hosts: BTreeSet<_> = hosts
        .iter()
        .map(|host| HostName::new(host).unwrap())
        .collect();
    harness.watch(WatchEvent::DrainsRead(Some(DrainList { hosts })));
}

#[test]
fn a_group_with_a_leaving_member_keeps_its_calls_and_gets_no_more() {
    let cases: [(&str, AnnounceLeaving); 3] = [
        ("by the platform's host list", |harness, fleet| {
            fleet.entry(ENGINES[1]).presence = Presence::Leaving;
            harness.watch(WatchEvent::HostsRead(Some(fleet.hosts.clone())));
        }),
        ("by an operator's drain", |harness, _| {
            drain(harness, &[ENGINES[1]]);
        }),
        ("by its own report", |harness, fleet| {
            fleet.reports[1].phase = MemberPhase::Leaving;
            harness.receive_reports(fleet);
        }),
    ];
    for (case, announce_leaving) in cases {
        let mut fleet = Fleet::healthy();
        let mut harness = Harness::serving(&fleet);
        let call = harness.call(model_call());
        announce_leaving(&mut harness, &mut fleet);
        let last = harness.last_step(call);
        assert!(matches!(last, Some(CallStep::Send(_))), "{case}: {last:?}");
        let late = harness.call(model_call());
        assert!(harness.refused(late).is_some(), "{case}");
        harness.end_attempt(call, AttemptEnd::Answered);
        assert_eq!(harness.status().calls, 0, "{case}");
    }
}

#[test]
fn a_leaving_server_gets_no_new_calls() {
    let mut fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    fleet.entry(SERVERS[0]).presence = Presence::Leaving;
    harness.watch(WatchEvent::HostsRead(Some(fleet.hosts.clone())));
    let leaving = fleet.entry(SERVERS[0]).address;
    for _ in 0..4 {
        let call = harness.call(plain_call(DESK_KEY, BOOKING_SERVICE, "GET /bookings", None));
        assert_ne!(harness.last_address(call), leaving);
    }
    drain(&mut harness, &[SERVERS[1]]);
    let call = harness.call(plain_call(DESK_KEY, BOOKING_SERVICE, "GET /bookings", None));
    assert!(harness.refused(call).is_some());
}

#[test]
fn a_failed_read_of_the_lists_changes_nothing() {
    let mut fleet = Fleet::healthy();
    let mut harness = Harness::serving(&fleet);
    drain(&mut harness, &[SERVERS[0]]);
    harness.watch(WatchEvent::DrainsRead(None));
    harness.watch(WatchEvent::HostsRead(None));
    let call = harness.call(plain_call(DESK_KEY, BOOKING_SERVICE, "GET /bookings", None));
    assert_eq!(harness.last_address(call), fleet.entry(SERVERS[1]).address);
}
