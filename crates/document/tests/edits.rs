//! Concurrent edits of a document, and edits whose reply was lost.

mod common;

use base::prelude::*;
use common::{FRONT, MODELS, make_document, revision_of, write_text};
use document::commands::{EditOutcome, SectionEdit, edit_section};
use document::queries::{EditLookup, effective_config, find_edit};
use document::{Document, EDIT_LIMIT, GoodSections};
use proptest::prelude::*;

const LARGER: &str = "deployments:\n  quotes: {model: fogas-7b, group_size: 8, groups: 2}\n";
const SMALLER: &str = "deployments:\n  quotes: {model: fogas-7b, group_size: 2, groups: 2}\n";

/// Edit by the team that owns the section, based on a revision.
fn make_edit(name: &str, expected: u64, text: &str, nonce: u64) -> SectionEdit {
    SectionEdit {
        section: SectionName::new(name).unwrap(),
        owner: TeamName::new(name).unwrap(),
        expected: SectionRevision(expected),
        text: Arc::from(text),
        nonce: WriteNonce(nonce),
    }
}

fn initial_document() -> Document {
    make_document(&[("front", FRONT), ("models", MODELS)])
}

fn other_owner(edit: SectionEdit) -> SectionEdit {
    SectionEdit {
        owner: TeamName::new("visitors").unwrap(),
        ..edit
    }
}

#[test]
fn edits_have_the_expected_outcomes() {
    let conflict = |found| EditOutcome::Conflict {
        found: SectionRevision(found),
    };
    let owner = TeamName::new("models").unwrap();
    let cases = [
        (
            "edit",
            make_edit("models", 1, LARGER, 7),
            EditOutcome::Edited(SectionRevision(2)),
        ),
        (
            "same text",
            make_edit("models", 1, MODELS, 7),
            EditOutcome::Unchanged(SectionRevision(1)),
        ),
        (
            "old revision",
            make_edit("models", 0, LARGER, 7),
            conflict(1),
        ),
        (
            "future revision",
            make_edit("models", 2, LARGER, 7),
            conflict(1),
        ),
        (
            "new section",
            make_edit("chat", 0, "", 7),
            EditOutcome::Edited(SectionRevision(1)),
        ),
        ("missing section", make_edit("chat", 3, "", 7), conflict(0)),
        (
            "other owner",
            other_owner(make_edit("models", 1, LARGER, 7)),
            EditOutcome::NotOwner { owner },
        ),
    ];
    for (name, edit, expected) in cases {
        let mut document = initial_document();
        assert_eq!(
            edit_section(&mut document, &GoodSections::default(), &edit),
            expected,
            "{name}"
        );
        if !matches!(expected, EditOutcome::Edited(_)) {
            assert_eq!(document, initial_document(), "{name}");
        }
    }
}

#[test]
fn faulty_edits_are_rejected_with_positions() {
    let cases = [
        ("syntax", make_edit("front", 1, "services: [", 7)),
        (
            "unknown",
            make_edit("front", 1, "services:\n  a: {deployment: b}", 7),
        ),
        ("still used", make_edit("models", 1, "deployments: {}", 7)),
        ("defined elsewhere", make_edit("chat", 0, MODELS, 7)),
    ];
    let mut report = String::new();
    for (name, edit) in cases {
        let mut document = initial_document();
        let EditOutcome::Faulty(faults) =
            edit_section(&mut document, &GoodSections::default(), &edit)
        else {
            panic!("{name} must be rejected");
        };
        assert_eq!(document, initial_document());
        for fault in faults {
            report.push_str(&format!("{name}: {fault}\n"));
        }
    }
    insta::assert_snapshot!(report);
}

#[test]
fn a_faulty_section_of_another_team_does_not_block_an_edit() {
    let mut document = initial_document();
    write_text(&mut document, "front", "services: [");
    let outcome = edit_section(
        &mut document,
        &GoodSections::default(),
        &make_edit("models", 1, LARGER, 7),
    );
    assert_eq!(outcome, EditOutcome::Edited(SectionRevision(2)));
    let front = &document.sections[&SectionName::new("front").unwrap()];
    assert_eq!(front.text.as_ref(), "services: [");
}

#[test]
fn a_faulty_section_of_another_team_is_checked_in_its_last_good_version() {
    let first = initial_document();
    let good = effective_config(&first, &GoodSections::default()).good;
    let mut document = first;
    write_text(&mut document, "models", "deployments: [");
    let longer = format!("{FRONT}# edited\n");
    let edit = make_edit("front", 1, &longer, 7);
    let outcome = edit_section(&mut document, &good, &edit);
    assert_eq!(outcome, EditOutcome::Edited(SectionRevision(2)));
}

#[test]
fn an_edit_is_looked_up_after_its_reply_was_lost() {
    let section = SectionName::new("models").unwrap();
    let look_up = |document: &Document, nonce| {
        find_edit(document, &section, SectionRevision(1), WriteNonce(nonce))
    };
    let mut document = initial_document();
    assert_eq!(look_up(&document, 7), EditLookup::NotApplied);
    edit_section(
        &mut document,
        &GoodSections::default(),
        &make_edit("models", 1, LARGER, 7),
    );
    assert_eq!(
        look_up(&document, 7),
        EditLookup::Applied(SectionRevision(2))
    );
    assert_eq!(look_up(&document, 8), EditLookup::NotApplied);
    for round in 0..EDIT_LIMIT as u64 {
        let text = if round % 2 == 0 { SMALLER } else { LARGER };
        edit_section(
            &mut document,
            &GoodSections::default(),
            &make_edit("models", 2 + round, text, 100 + round),
        );
    }
    assert_eq!(look_up(&document, 7), EditLookup::Unknown);
    assert_eq!(look_up(&document, 8), EditLookup::Unknown);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against lost updates: in any order of reads and edits, an edit that is based
    /// on an outdated revision must fail and leave both sections unchanged.
    #[test]
    fn concurrent_edits_never_overwrite_each_other(steps in prop::collection::vec((0..3usize, any::<bool>()), 1..60)) {
        let mut document = make_document(&[("a", ""), ("b", "")]);
        let mut seen = [SectionRevision(0); 3];
        let mut newest = [1, 1];
        for (nonce, (editor, reads)) in steps.into_iter().enumerate() {
            let target = editor % 2;
            let name = ["a", "b"][target];
            if reads {
                seen[editor] = revision_of(&document, name);
                continue;
            }
            let other = ["b", "a"][target];
            let before = document.sections[&SectionName::new(other).unwrap()].clone();
            let text = format!("# edit {nonce}\n");
            let edit = make_edit(name, seen[editor].0, &text, nonce as u64);
            let outcome = edit_section(&mut document, &GoodSections::default(), &edit);
            let is_newest = seen[editor].0 == newest[target];
            prop_assert_eq!(matches!(outcome, EditOutcome::Edited(_)), is_newest);
            newest[target] += u64::from(is_newest);
            prop_assert_eq!(revision_of(&document, name).0, newest[target]);
            prop_assert_eq!(&document.sections[&SectionName::new(other).unwrap()], &before);
        }
    }
}
