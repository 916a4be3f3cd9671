//! Concurrent edits, lost replies and outages of the store during `section put`.

use std::path::PathBuf;

use crate::common::{TestSystem, run_ready};
use base::prelude::*;
use cli::ExitStatus;
use cli::commands::put_section::{PutRequest, put_section};
use document::commands::{EditOutcome, SectionEdit, accept, apply_last_good, edit_section};
use document::{ConfigState, Document, GoodSections};
use interface::keys::{document_key, good_sections_key};
use store::UpdateFault;

const MODELS: &str = "deployments:\n  quotes: {model: m, group_size: 4, groups: 2}\n";
const WIDER: &str = "deployments:\n  quotes: {model: m, group_size: 8, groups: 2}\n";

fn start() -> TestSystem {
    let system = TestSystem::default();
    edit_by_other(&system, "models", 0, MODELS);
    edit_by_other(&system, "front", 0, "services: {}\n");
    system
}

/// Applies an edit of another team, without faults.
fn edit_by_other(system: &TestSystem, section: &str, expected: u64, text: &str) {
    let mut document = match run_ready(store::ObjectStore::read(&system.store, &document_key())) {
        store::ReadOutcome::Found(object) => Document::decode(&object.value).unwrap(),
        _ => Document::default(),
    };
    let edit = SectionEdit {
        section: SectionName::new(section).unwrap(),
        owner: TeamName::new(section).unwrap(),
        expected: SectionRevision(expected),
        text: Arc::from(text),
        nonce: WriteNonce(1_000 + expected),
    };
    let outcome = edit_section(&mut document, &GoodSections::default(), &edit);
    assert_eq!(outcome, EditOutcome::Edited(SectionRevision(expected + 1)));
    system.write(&document_key(), document.encode());
}

fn put(
    system: &TestSystem,
    owner: &str,
    revision: Option<u64>,
    text: &str,
) -> (ExitStatus, String) {
    let request = PutRequest {
        section: SectionName::new("models").unwrap(),
        owner: TeamName::new(owner).unwrap(),
        revision: revision.map(SectionRevision),
        text: Arc::from(text),
    };
    match run_ready(put_section(&system.session(), &request)) {
        Ok(outcome) => (outcome.status, crate::common::table_of(&outcome)),
        Err(error) => (error.status(), error.to_string()),
    }
}

fn models(system: &TestSystem) -> (u64, String) {
    let document = Document::decode(&system.read(&document_key())).unwrap();
    let section = &document.sections[&SectionName::new("models").unwrap()];
    (section.revision.0, section.text.to_string())
}

fn front_revision(system: &TestSystem) -> u64 {
    let document = Document::decode(&system.read(&document_key())).unwrap();
    document.sections[&SectionName::new("front").unwrap()]
        .revision
        .0
}

#[test]
fn edits_end_with_a_status() {
    let cases = [
        ("edit", "models", Some(1), WIDER, ExitStatus::Done),
        ("same text", "models", Some(1), MODELS, ExitStatus::Done),
        (
            "shown text",
            "models",
            None,
            "# section models, revision 1\n# wider\n",
            ExitStatus::Done,
        ),
        (
            "old revision",
            "models",
            Some(7),
            WIDER,
            ExitStatus::Conflict,
        ),
        (
            "old shown text",
            "models",
            None,
            "# section models, revision 3\n",
            ExitStatus::Conflict,
        ),
        ("no revision", "models", None, WIDER, ExitStatus::Faulty),
        (
            "other section",
            "models",
            None,
            "# section front, revision 1\n",
            ExitStatus::Faulty,
        ),
        ("other owner", "front", Some(1), WIDER, ExitStatus::Failed),
        (
            "faulty",
            "models",
            Some(1),
            "deployments: [",
            ExitStatus::Faulty,
        ),
        (
            "faulty shown text",
            "models",
            None,
            "# section models, revision 1\ndeployments: [",
            ExitStatus::Faulty,
        ),
    ];
    let mut report = String::new();
    for (name, owner, revision, text, expected) in cases {
        let system = start();
        let (status, output) = put(&system, owner, revision, text);
        assert_eq!(status, expected, "{name}: {output}");
        report.push_str(&format!("{name}: {}\n", output.trim_end()));
    }
    insta::assert_snapshot!(report);
}

#[test]
fn store_faults_apply_an_edit_once_or_not_at_all() {
    use UpdateFault::{Conflict, ReplyLost, RequestLost};
    let cases = [
        ("update conflict", vec![Some(Conflict)], ExitStatus::Done, 2),
        ("reply lost", vec![Some(ReplyLost)], ExitStatus::Done, 2),
        ("request lost", vec![Some(RequestLost)], ExitStatus::Done, 2),
        (
            "several faults",
            vec![Some(RequestLost), Some(Conflict), Some(ReplyLost)],
            ExitStatus::Done,
            2,
        ),
        (
            "always in conflict",
            vec![Some(Conflict); 20],
            ExitStatus::Conflict,
            1,
        ),
        (
            "never answered",
            vec![Some(RequestLost); 20],
            ExitStatus::Unavailable,
            1,
        ),
    ];
    for (name, faults, expected, revision) in cases {
        let system = start();
        system.store.inject_update_faults(faults);
        let (status, output) = put(&system, "models", Some(1), WIDER);
        assert_eq!(status, expected, "{name}: {output}");
        assert_eq!(models(&system).0, revision, "{name}");
    }
}

#[test]
fn an_edit_with_a_lost_reply_is_recognized_after_concurrent_edits() {
    let cases = [
        (
            "another section",
            "front",
            1,
            "# theirs\n",
            ExitStatus::Done,
            2,
        ),
        (
            "the same section, after the edit",
            "models",
            2,
            "# theirs\n",
            ExitStatus::Done,
            3,
        ),
    ];
    for (name, section, expected, text, status, revision) in cases {
        let system = start();
        system
            .store
            .inject_update_faults([Some(UpdateFault::ReplyLost)]);
        let other = system.clone();
        let action = move || edit_by_other(&other, section, expected, text);
        system
            .waiter
            .concurrent_actions
            .borrow_mut()
            .push(Box::new(action));
        let (found, output) = put(&system, "models", Some(1), WIDER);
        assert_eq!(found, status, "{name}: {output}");
        assert_eq!(models(&system).0, revision, "{name}");
        assert!(output.contains("is at revision 2"), "{name}: {output}");
    }
}

#[test]
fn a_concurrent_edit_after_a_lost_request_is_a_conflict() {
    let system = start();
    system
        .store
        .inject_update_faults([Some(UpdateFault::RequestLost)]);
    let other = system.clone();
    let action = move || edit_by_other(&other, "models", 1, "# theirs\n");
    system
        .waiter
        .concurrent_actions
        .borrow_mut()
        .push(Box::new(action));
    let (status, _) = put(&system, "models", Some(1), WIDER);
    assert_eq!(status, ExitStatus::Conflict);
    assert_eq!(models(&system), (2, "# theirs\n".to_owned()));
}

#[test]
fn concurrent_edits_of_other_sections_are_kept() {
    let system = start();
    system
        .store
        .inject_update_faults([Some(UpdateFault::Conflict)]);
    let other = system.clone();
    let action = move || edit_by_other(&other, "front", 1, "# theirs\n");
    system
        .waiter
        .concurrent_actions
        .borrow_mut()
        .push(Box::new(action));
    assert_eq!(put(&system, "models", Some(1), WIDER).0, ExitStatus::Done);
    assert_eq!(models(&system), (2, WIDER.to_owned()));
    assert_eq!(front_revision(&system), 2);
}

#[test]
fn an_outage_differs_from_an_unknown_outcome() {
    let system = start();
    system.store.set_down(true);
    let (status, output) = put(&system, "models", Some(1), WIDER);
    assert_eq!(status, ExitStatus::Unavailable);
    assert!(output.contains("nothing was changed"), "{output}");

    system.store.set_down(false);
    system
        .store
        .inject_update_faults([Some(UpdateFault::ReplyLost)]);
    let store = system.store.clone();
    let action = move || store.set_down(true);
    system
        .waiter
        .concurrent_actions
        .borrow_mut()
        .push(Box::new(action));
    let (status, output) = put(&system, "models", Some(1), WIDER);
    assert_eq!(status, ExitStatus::Unavailable);
    assert!(output.contains("may have taken effect"), "{output}");
    system.store.set_down(false);
    assert_eq!(models(&system).0, 2);
}

#[test]
fn a_shown_section_can_be_put() {
    let system = start();
    let shown = system.run(&["section", "show", "models"]).unwrap();
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("shown.yaml");
    let edited = crate::common::table_of(&shown).replace("size: 4", "size: 8");
    std::fs::write(&path, edited).unwrap();
    let file = path.to_str().unwrap();
    let report = system.describe(&["section", "put", "models", file, "--owner", "models"]);
    assert!(report.contains("revision 2"), "{report}");
    assert_eq!(models(&system), (2, WIDER.to_owned()));
    let again = system.describe(&["section", "put", "models", file, "--owner", "models"]);
    assert!(again.contains("[Conflict]"), "{again}");
}

#[test]
fn a_put_stores_the_last_good_sections() {
    let system = start();
    assert_eq!(put(&system, "models", Some(1), WIDER).0, ExitStatus::Done);
    let value = system
        .read(&document_key())
        .replace("deployments:", "deployments: [");
    system.write(&document_key(), Arc::from(value));
    let listed = system.describe(&["section", "list"]);
    assert!(listed.contains("models   models  2         2 "), "{listed}");

    let mut fresh = ConfigState::default();
    let document = Document::decode(&system.read(&document_key())).unwrap();
    accept(&mut fresh, ObjectVersion(9), Arc::new(document));
    assert!(fresh.in_force.configuration.deployments.is_empty());
    let kept = GoodSections::decode(&system.read(&good_sections_key())).unwrap();
    assert!(apply_last_good(&mut fresh, &kept));
    let deployment = DeploymentName::new("quotes").unwrap();
    let spec = &fresh.in_force.configuration.deployments[&deployment];
    assert_eq!(spec.group_size, 8);
}

#[test]
fn sections_are_listed_with_their_faults() {
    let system = start();
    let mut value = system.read(&document_key()).to_string();
    value = value.replace("services: {}", "services: []");
    system.write(&document_key(), Arc::from(value));
    let mut report = system.describe(&["section", "list"]);
    report.push_str(&system.describe(&["section", "show", "models"]));
    report.push_str(&system.describe(&["section", "history", "models"]));
    report.push_str(&system.describe(&["section", "show", "nobody"]));
    insta::assert_snapshot!(report);
}
