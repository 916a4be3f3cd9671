//! Racing edits of a document and lost replies.

mod common;

use base::prelude::*;
use common::{FRONT, MODELS, make_document, revision_of, write_text};
use document::commands::{EditOutcome, SectionEdit, edit_section};
use document::queries::{EditLookup, effective, find_edit};
use document::{Document, EDIT_LIMIT, GoodSections};
use proptest::prelude::*;

const LARGER: &str = "deployments:\n  quotes: {model: fogas-7b, group_size: 8, groups: 2}\n";
const SMALLER: &str = "deployments:\n  quotes: {model: fogas-7b, group_size: 2, groups: 2}\n";

/// Edit by the section's own team on top of a revision.
fn make_edit(name: &str, expected: u64, text: &str, nonce: u64) -> SectionEdit {
    SectionEdit {
        section: SectionName::new(name).unwrap(),
        owner: TeamName::new(name).unwrap(),
        expected: SectionRevision(expected),
        text: Arc::from(text),
        nonce: WriteNonce(nonce),
    }
}

fn start() -> Document {
    make_document(&[("front", FRONT), ("models", MODELS)])
}

fn other_owner(edit: SectionEdit) -> SectionEdit {
    SectionEdit {
        owner: TeamName::new("visitors").unwrap(),
        ..edit
    }
}

#[test]
fn edits_end_in_outcomes() {
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
            "revision to come",
            make_edit("models", 2, LARGER, 7),
            conflict(1),
        ),
        (
            "new section",
            make_edit("chat", 0, "", 7),
            EditOutcome::Edited(SectionRevision(1)),
        ),
        ("gone section", make_edit("chat", 3, "", 7), conflict(0)),
        (
            "other owner",
            other_owner(make_edit("models", 1, LARGER, 7)),
            EditOutcome::NotOwner { owner },
        ),
    ];
    for (name, edit, expected) in cases {
        let mut document = start();
        assert_eq!(
            edit_section(&mut document, &GoodSections::default(), &edit),
            expected,
            "{name}"
        );
        if !matches!(expected, EditOutcome::Edited(_)) {
            assert_eq!(document, start(), "{name}");
        }
    }
}

#[test]
fn faulty_edits_are_refused_with_places() {
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
        let mut document = start();
        let EditOutcome::Faulty(faults) =
            edit_section(&mut document, &GoodSections::default(), &edit)
        else {
            panic!("{name} must be refused");
        };
        assert_eq!(document, start());
        for fault in faults {
            report.push_str(&format!("{name}: {fault}\n"));
        }
    }
    insta::assert_snapshot!(report);
}

#[test]
fn others_bad_section_blocks_no_edit() {
    let mut document = start();
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
fn others_bad_section_counts_as_its_last_good_version() {
    let first = start();
    let good = effective(&first, &GoodSections::default()).good;
    let mut document = first;
    write_text(&mut document, "models", "deployments: [");
    let longer = format!("{FRONT}# edited\n");
    let edit = make_edit("front", 1, &longer, 7);
    let outcome = edit_section(&mut document, &good, &edit);
    assert_eq!(outcome, EditOutcome::Edited(SectionRevision(2)));
}

#[test]
fn lost_replies_are_told_apart() {
    let section = SectionName::new("models").unwrap();
    let trace = |document: &Document, nonce| {
        find_edit(document, &section, SectionRevision(1), WriteNonce(nonce))
    };
    let mut document = start();
    assert_eq!(trace(&document, 7), EditLookup::NotApplied);
    edit_section(
        &mut document,
        &GoodSections::default(),
        &make_edit("models", 1, LARGER, 7),
    );
    assert_eq!(trace(&document, 7), EditLookup::Applied(SectionRevision(2)));
    assert_eq!(trace(&document, 8), EditLookup::NotApplied);
    for round in 0..EDIT_LIMIT as u64 {
        let text = if round % 2 == 0 { SMALLER } else { LARGER };
        edit_section(
            &mut document,
            &GoodSections::default(),
            &make_edit("models", 2 + round, text, 100 + round),
        );
    }
    assert_eq!(trace(&document, 7), EditLookup::Unknown);
    assert_eq!(trace(&document, 8), EditLookup::Unknown);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever order editors read and write in, no edit is lost or made over an unseen one.
    #[test]
    fn racing_edits_never_overwrite(steps in prop::collection::vec((0..3usize, any::<bool>()), 1..60)) {
        let mut document = make_document(&[("a", ""), ("b", "")]);
        let mut seen = [SectionRevision(0); 3];
        let mut made = [1, 1];
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
            let is_newest = seen[editor].0 == made[target];
            prop_assert_eq!(matches!(outcome, EditOutcome::Edited(_)), is_newest);
            made[target] += u64::from(is_newest);
            prop_assert_eq!(revision_of(&document, name).0, made[target]);
            prop_assert_eq!(&document.sections[&SectionName::new(other).unwrap()], &before);
        }
    }
}
