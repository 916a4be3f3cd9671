//! The version in force never decreases.

mod common;

use base::prelude::*;
use common::{FRONT, MODELS, make_document, write_text};
use document::commands::{AcceptOutcome, accept, apply_last_good, raise_floor};
use document::queries::{in_force, is_newest, is_resolved, section_digests, was_ever_resolved};
use document::{ConfigState, Document, KeyDigest, SectionDigest};
use proptest::prelude::*;

const WIDER: &str = "deployments:\n  quotes: {model: fogas-7b, group_size: 8, groups: 2}\n";

fn initial_document() -> Arc<Document> {
    Arc::new(make_document(&[("front", FRONT), ("models", MODELS)]))
}

fn group_size(state: &ConfigState) -> usize {
    let deployment = DeploymentName::new("quotes").unwrap();
    in_force(state).configuration.deployments[&deployment].group_size
}

#[test]
fn old_documents_are_rejected() {
    let mut state = ConfigState::default();
    assert!(!is_newest(&state));
    let mut wider = Document::clone(&initial_document());
    write_text(&mut wider, "models", WIDER);
    let wider = Arc::new(wider);
    let older = |floor| AcceptOutcome::Older {
        floor: ObjectVersion(floor),
    };
    let steps = [
        ("first", 5, initial_document(), AcceptOutcome::InForce),
        (
            "replayed at once",
            5,
            initial_document(),
            AcceptOutcome::Unchanged,
        ),
        ("newer", 9, wider, AcceptOutcome::InForce),
        ("older replayed", 5, initial_document(), older(9)),
        ("document lost", 0, Arc::default(), older(9)),
    ];
    for (name, version, document, expected) in steps {
        let outcome = accept(&mut state, ObjectVersion(version), document);
        assert_eq!(outcome, expected, "{name}");
    }
    assert_eq!(group_size(&state), 8);
    assert!(is_newest(&state));
}

#[test]
fn a_raised_floor_rejects_older_documents() {
    let mut state = ConfigState::default();
    accept(&mut state, ObjectVersion(5), initial_document());
    assert!(raise_floor(&mut state, ObjectVersion(8)));
    assert!(!is_newest(&state));
    let floor = ObjectVersion(8);
    let outcome = accept(&mut state, ObjectVersion(7), initial_document());
    assert_eq!(outcome, AcceptOutcome::Older { floor });
    assert_eq!(in_force(&state).version, ObjectVersion(5));
    assert_eq!(
        accept(&mut state, floor, initial_document()),
        AcceptOutcome::InForce
    );
    assert!(!raise_floor(&mut state, ObjectVersion(3)));
}

#[test]
fn processes_converge_on_the_newest_good_section() {
    let mut bad = Document::clone(&initial_document());
    write_text(&mut bad, "models", WIDER);
    let wider = Arc::new(bad.clone());
    write_text(&mut bad, "models", "deployments: [");
    let bad = Arc::new(bad);
    let mut early = ConfigState::default();
    accept(&mut early, ObjectVersion(1), initial_document());
    accept(&mut early, ObjectVersion(3), Arc::clone(&bad));
    let mut late = ConfigState::default();
    accept(&mut late, ObjectVersion(2), wider);
    accept(&mut late, ObjectVersion(3), Arc::clone(&bad));
    let mut fresh = ConfigState::default();
    accept(&mut fresh, ObjectVersion(3), bad);
    assert_eq!((group_size(&early), group_size(&late)), (4, 8));
    assert!(in_force(&fresh).configuration.deployments.is_empty());

    assert!(is_resolved(&early) && is_resolved(&late));
    assert!(!is_resolved(&fresh) && !was_ever_resolved(&fresh));
    assert!(apply_last_good(&mut early, &late.good));
    assert!(apply_last_good(&mut fresh, &late.good));
    assert!(!apply_last_good(&mut late, &early.good));
    assert!(is_resolved(&fresh));
    assert_eq!(early.in_force.configuration, late.in_force.configuration);
    assert_eq!(fresh.in_force.configuration, late.in_force.configuration);
    assert_eq!(early.in_force.rejected, late.in_force.rejected);
}

#[test]
fn callers_are_found_by_key() {
    let digest = KeyDigest::of_key("desk key");
    let text = format!(
        "workspaces:\n  theatre:\n    services: []\n    callers:\n      desk: {{key_sha256: {}}}\n",
        digest.to_hex()
    );
    let mut state = ConfigState::default();
    let document = make_document(&[("theatre", &text)]);
    accept(&mut state, ObjectVersion(1), Arc::new(document));
    let in_force = in_force(&state);
    let (workspace, caller) = in_force.callers.find(digest).unwrap();
    assert_eq!((workspace.as_str(), caller.as_str()), ("theatre", "desk"));
    assert_eq!(in_force.callers.find(KeyDigest::of_key("other")), None);
}

#[test]
fn section_digests_are_those_of_the_texts() {
    let digests = section_digests(&initial_document());
    let models = SectionName::new("models").unwrap();
    assert_eq!(digests[&models], SectionDigest::of_text(MODELS));
    assert_eq!(digests.len(), 2);
}

#[test]
fn sections_that_a_restored_store_has_lost_stay_in_force_until_they_are_edited_again() {
    let mut state = ConfigState::default();
    let mut wider = Document::clone(&initial_document());
    write_text(&mut wider, "models", WIDER);
    accept(&mut state, ObjectVersion(8), initial_document());
    accept(&mut state, ObjectVersion(9), Arc::new(wider.clone()));
    // The copy holds the first document; its revisions are lower.
    let copy = ObjectVersion::in_era(1, 8);
    accept(&mut state, copy, initial_document());
    assert_eq!(group_size(&state), 8);
    // An edit of another section takes effect, the lost one stays.
    let mut other = Document::clone(&initial_document());
    write_text(&mut other, "chat", "workspaces: {}\n");
    accept(&mut state, copy.next(), Arc::new(other.clone()));
    let chat = SectionName::new("chat").unwrap();
    assert!(state.document.sections.contains_key(&chat));
    assert_eq!(group_size(&state), 8);
    // The lost section is edited again, under a revision that was given out before.
    write_text(&mut other, "models", MODELS);
    accept(&mut state, copy.next().next(), Arc::new(other));
    assert_eq!(group_size(&state), 4);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Documents and announced versions arrive in any order.
    #[test]
    fn the_version_in_force_never_decreases(steps in prop::collection::vec((0..20u64, any::<bool>()), 1..80)) {
        let mut state = ConfigState::default();
        let mut newest = ObjectVersion(0);
        for (version, is_document) in steps {
            let before = state.in_force.version;
            let version = ObjectVersion(version);
            if is_document {
                accept(&mut state, version, Arc::default());
            } else {
                raise_floor(&mut state, version);
            }
            newest = newest.max(version);
            prop_assert!(state.in_force.version >= before);
            prop_assert_eq!(state.floor, newest);
        }
    }
}
