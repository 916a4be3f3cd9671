//! Outage of the store: groups are not repaired, but those that have lost a member are avoided.

use crate::support::{apply_event, at, config_item, digest, endpoint, list, node, start, status};
use base::prelude::*;
use edge::border::ports::{CollectionItem, StoreCollection};
use edge::{CollectionEvent, EdgeEffect, EdgeEvent, EdgeState, PeerMessage};
use replicas::{
    EndpointReport, GroupEntry, GroupPhase, GroupRecord, MemberPhase, MemberRef, Membership,
    ProbeOutcome, RecordWire,
};
use store::{ObjectKey, StoredObject};

/// Groups of two members each: `e-0` and `e-1`, `e-2` and `e-3`, and so on.
const GROUPS: usize = 3;

fn member(index: usize) -> HostName {
    HostName::new(&format!("e-{index}")).unwrap()
}

fn membership(index: usize) -> Membership {
    let group = index / 2;
    Membership {
        group: GroupName::new(&format!("g{group}")).unwrap(),
        epoch: GroupEpoch(group as u64 + 1),
        phase: if index.is_multiple_of(2) {
            MemberPhase::Open
        } else {
            MemberPhase::Ready
        },
    }
}

fn record() -> GroupRecord {
    let groups = (0..GROUPS).map(|group| {
        let members = [2 * group, 2 * group + 1].map(|index| MemberRef {
            id: member(index),
            incarnation: HostIncarnation(1),
        });
        GroupEntry {
            name: GroupName::new(&format!("g{group}")).unwrap(),
            service: ServiceName::new("plain").unwrap(),
            model: ModelName::new("large").unwrap(),
            epoch: GroupEpoch(group as u64 + 1),
            members: members.into(),
            head_address: "127.0.0.1:9".parse().unwrap(),
            phase: GroupPhase::Serving,
        }
    });
    GroupRecord {
        owner: Some(node("n1")),
        next_epoch: GroupEpoch(100),
        groups: groups.collect(),
    }
}

/// Node that knows three groups and another node.
fn node_with_groups() -> EdgeState {
    node_that_lists(0..2 * GROUPS)
}

/// Node that starts with the record of three groups and a list of these endpoints.
pub fn node_that_lists(members: std::ops::Range<usize>) -> EdgeState {
    let mut state = start("n1");
    let config = vec![config_item(1, "/x/")];
    list(&mut state, StoreCollection::RoutingConfig, config, at(1));
    let endpoints = members.map(|index| {
        let mut endpoint = endpoint(member(index).as_str());
        endpoint.fabric = Some(FabricName::new("d0").unwrap());
        endpoint.membership = Some(membership(index));
        CollectionItem::Endpoint(endpoint)
    });
    list(
        &mut state,
        StoreCollection::Endpoints,
        endpoints.collect(),
        at(1),
    );
    let objects = [
        (
            "node.n2",
            r#"{"address":"127.0.0.1:33","rank":250}"#.to_owned(),
        ),
        (
            "groups",
            serde_json::to_string(&RecordWire::from(&record())).unwrap(),
        ),
    ];
    let objects = objects.map(|(key, value)| {
        CollectionItem::Shared(StoredObject {
            key: ObjectKey::new(key),
            version: ObjectVersion(1),
            value: value.into(),
        })
    });
    list(&mut state, StoreCollection::Shared, objects.into(), at(1));
    state
}

fn report(index: usize) -> ProbeOutcome {
    ProbeOutcome::Received(EndpointReport {
        incarnation: HostIncarnation(1),
        sequence: 0,
        staged: Vec::new(),
        membership: Some(membership(index)),
        latency_factor: 1.0,
        queued: 0,
        running: 0,
    })
}

/// Heads that the node reports as silent while the store is away and some endpoints do not
/// respond.
fn reported_heads(state: &mut EdgeState, unresponsive: &[usize]) -> Vec<HostName> {
    for collection in StoreCollection::ALL {
        apply_event(state, collection, CollectionEvent::Unavailable, at(500));
    }
    let mut reported = Vec::new();
    for now in (500..6_000).step_by(10) {
        for effect in state.wake(at(now)) {
            match effect {
                EdgeEffect::Probe { of, .. } => {
                    let index = (0..2 * GROUPS).find(|index| member(*index) == of).unwrap();
                    let outcome = if unresponsive.contains(&index) {
                        ProbeOutcome::NoResponse
                    } else {
                        report(index)
                    };
                    state.handle(EdgeEvent::Reported(of, outcome), at(now));
                }
                EdgeEffect::Send {
                    message: PeerMessage::Digest(digest),
                    ..
                } => reported = digest.silent_heads,
                EdgeEffect::Try { server, .. } => {
                    let is_reached = unresponsive.len() < 2 * GROUPS;
                    state.handle(EdgeEvent::Tried(server, is_reached), at(now));
                }
                EdgeEffect::Order { .. } => panic!("order without a record that can be written"),
                _ => {}
            }
        }
    }
    reported
}

#[test]
fn a_group_that_loses_a_member_is_reported_until_the_store_is_back() {
    let mut state = node_with_groups();
    assert_eq!(reported_heads(&mut state, &[3]), [member(2)]);
}

#[test]
fn a_node_that_reaches_hardly_any_endpoint_reports_none() {
    let mut state = node_with_groups();
    assert_eq!(reported_heads(&mut state, &[0, 1, 3, 4]), []);
}

#[test]
fn a_node_that_was_cut_off_while_it_probed_serves_again_once_another_one_probes() {
    let mut state = node_with_groups();
    reported_heads(&mut state, &[0, 1, 2, 3, 4, 5]);
    assert_eq!(status(&mut state, at(6_000)).serving, 0);
    state.handle(digest("n2", true, 1), at(6_010));
    state.wake(at(6_010));
    // Its last probe ends late.
    state.handle(
        EdgeEvent::Reported(member(0), ProbeOutcome::NoResponse),
        at(6_020),
    );
    state.wake(at(6_030));
    assert_eq!(status(&mut state, at(6_030)).serving, GROUPS);
}

/// Numbers of groups that a node sends requests to, 0.1, 1 and 3 s after its start.
fn serving(state: &mut EdgeState) -> [usize; 3] {
    [100, 1_000, 3_000].map(|now| {
        state.wake(at(now));
        let endpoints = Vec::new();
        let unchanged = CollectionEvent::Changed(endpoints, ObjectVersion(1));
        apply_event(state, StoreCollection::Endpoints, unchanged, at(now));
        status(state, at(now)).serving
    })
}

#[test]
fn a_node_that_starts_after_an_outage_keeps_groups_until_their_members_are_listed_again() {
    let mut state = node_that_lists(0..1);
    assert_eq!(serving(&mut state), [3, 3, 0]);
}

#[test]
fn a_group_without_one_member_is_lost_if_the_others_are_listed() {
    let mut state = node_that_lists(0..5);
    assert_eq!(serving(&mut state), [2, 2, 2]);
}
