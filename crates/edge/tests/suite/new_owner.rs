//! Node that takes the groups over with an old record and an old list of endpoints.

use base::prelude::*;
use edge::border::ports::StoreCollection;
use edge::{CollectionEvent, EdgeEffect, EdgeEvent, EdgeState};
use store::{ObjectChange, UpdateOutcome};

use crate::store_away::node_that_lists;
use crate::support::{apply_event, at};

/// Changes of the record and number of orders until an instant.
fn run(state: &mut EdgeState, times: std::ops::Range<u64>) -> (Vec<ObjectChange>, usize) {
    let (mut changes, mut orders) = (Vec::new(), 0);
    for now in times.step_by(10) {
        for effect in state.wake(at(now)) {
            match effect {
                EdgeEffect::Update(change) if change.key.as_str() == "groups" => {
                    changes.push(change);
                }
                EdgeEffect::Order { .. } => orders += 1,
                _ => {}
            }
        }
    }
    (changes, orders)
}

fn group_count(change: &ObjectChange) -> usize {
    change.value.matches("\"members\"").count()
}

#[test]
fn a_new_owner_changes_no_group_before_its_list_is_newer_than_its_claim() {
    // The list lacks a member of one of the three groups.
    let mut state = node_that_lists(0..5);
    let (claims, orders) = run(&mut state, 400..800);
    assert_eq!((claims.len(), orders), (1, 0));
    assert_eq!(group_count(&claims[0]), 3, "{}", claims[0].value);
    let outcome = UpdateOutcome::Applied(ObjectVersion(10));
    let effects = state.handle(EdgeEvent::Updated(claims[0].clone(), outcome), at(800));
    let awaits_list = effects
        .iter()
        .any(|effect| matches!(effect, EdgeEffect::SetWatchMode(mode) if mode.awaits_list));
    assert!(awaits_list, "the list is asked for at once");
    let (changes, orders) = run(&mut state, 800..1_400);
    assert_eq!((changes.len(), orders), (0, 0));
    let listed = CollectionEvent::Changed(Vec::new(), ObjectVersion(11));
    apply_event(&mut state, StoreCollection::Endpoints, listed, at(1_400));
    let (changes, _) = run(&mut state, 1_400..1_700);
    assert_eq!(changes.iter().map(group_count).collect::<Vec<_>>(), [2]);
}

#[test]
fn a_node_that_owns_the_groups_again_claims_them_again() {
    let mut state = node_that_lists(0..6);
    let (claims, _) = run(&mut state, 400..800);
    let outcome = UpdateOutcome::Applied(ObjectVersion(10));
    state.handle(EdgeEvent::Updated(claims[0].clone(), outcome), at(800));
    let listed = CollectionEvent::Changed(Vec::new(), ObjectVersion(11));
    apply_event(&mut state, StoreCollection::Endpoints, listed, at(810));
    run(&mut state, 810..1_200);
    for collection in StoreCollection::ALL {
        apply_event(
            &mut state,
            collection,
            CollectionEvent::Unavailable,
            at(1_200),
        );
    }
    run(&mut state, 1_200..1_600);
    // Meanwhile another node may have owned them.
    for collection in StoreCollection::ALL {
        let unchanged = CollectionEvent::Changed(Vec::new(), ObjectVersion(12));
        apply_event(&mut state, collection, unchanged, at(1_600));
    }
    let (claims, orders) = run(&mut state, 1_600..1_900);
    assert_eq!((claims.len(), orders), (1, 0));
    assert_eq!(claims[0].expected, ObjectVersion(10));
}
