//! Racing edits, lost replies and outages, seen from the command line.

use std::path::PathBuf;

use crate::common::{World, wait_for};
use base::prelude::*;
use cli::ExitStatus;
use cli::commands::put_section::{PutOrder, put_section};
use document::commands::{EditOutcome, SectionEdit, accept, apply_last_good, edit_section};
use document::{ConfigState, Document, GoodSections};
use interface::keys::{document_key, good_sections_key};
use store::UpdateFault;

const MODELS: &str = "deployments:\n  quotes: {model: m, group_size: 4, groups: 2}\n";
const WIDER: &str = "deployments:\n  quotes: {model: m, group_size: 8, groups: 2}\n";

fn start() -> World {
    let world = World::default();
    edit_by_other(&world, "models", 0, MODELS);
    edit_by_other(&world, "front", 0, "services: {}\n");
    world
}

/// Edit by somebody else, who meets no fault.
fn edit_by_other(world: &World, section: &str, expected: u64, text: &str) {
    let mut document = match wait_for(store::ObjectStore::read(&world.store, &document_key())) {
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
    world.write(&document_key(), document.encode());
}

fn put(world: &World, owner: &str, revision: Option<u64>, text: &str) -> (ExitStatus, String) {
    let order = PutOrder {
        section: SectionName::new("models").unwrap(),
        owner: TeamName::new(owner).unwrap(),
        revision: revision.map(SectionRevision),
        text: Arc::from(text),
    };
    match wait_for(put_section(&world.session(), &order)) {
        Ok(answer) => (answer.status, crate::common::table_of(&answer)),
        Err(error) => (error.status(), error.to_string()),
    }
}

fn models(world: &World) -> (u64, String) {
    let document = Document::decode(&world.read(&document_key())).unwrap();
    let section = &document.sections[&SectionName::new("models").unwrap()];
    (section.revision.0, section.text.to_string())
}

fn front_revision(world: &World) -> u64 {
    let document = Document::decode(&world.read(&document_key())).unwrap();
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
        let world = start();
        let (status, said) = put(&world, owner, revision, text);
        assert_eq!(status, expected, "{name}: {said}");
        report.push_str(&format!("{name}: {}\n", said.trim_end()));
    }
    insta::assert_snapshot!(report);
}

#[test]
fn faults_of_the_platform_leave_one_edit_or_none() {
    use UpdateFault::{Conflict, ReplyLost, RequestLost};
    let cases = [
        (
            "conflict elsewhere",
            vec![Some(Conflict)],
            ExitStatus::Done,
            2,
        ),
        ("reply lost", vec![Some(ReplyLost)], ExitStatus::Done, 2),
        ("request lost", vec![Some(RequestLost)], ExitStatus::Done, 2),
        (
            "several",
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
        let world = start();
        world.store.inject_update_faults(faults);
        let (status, said) = put(&world, "models", Some(1), WIDER);
        assert_eq!(status, expected, "{name}: {said}");
        assert_eq!(models(&world).0, revision, "{name}");
    }
}

#[test]
fn others_get_in_between_after_a_lost_reply() {
    let cases = [
        (
            "their section",
            "front",
            1,
            "# theirs\n",
            ExitStatus::Done,
            2,
        ),
        (
            "the same section, on top",
            "models",
            2,
            "# theirs\n",
            ExitStatus::Done,
            3,
        ),
    ];
    for (name, section, expected, text, status, revision) in cases {
        let world = start();
        world
            .store
            .inject_update_faults([Some(UpdateFault::ReplyLost)]);
        let other = world.clone();
        let act = move || edit_by_other(&other, section, expected, text);
        world.time.meanwhile.borrow_mut().push(Box::new(act));
        let (found, said) = put(&world, "models", Some(1), WIDER);
        assert_eq!(found, status, "{name}: {said}");
        assert_eq!(models(&world).0, revision, "{name}");
        assert!(said.contains("is at revision 2"), "{name}: {said}");
    }
}

#[test]
fn others_get_in_between_after_a_lost_request() {
    let world = start();
    world
        .store
        .inject_update_faults([Some(UpdateFault::RequestLost)]);
    let other = world.clone();
    let act = move || edit_by_other(&other, "models", 1, "# theirs\n");
    world.time.meanwhile.borrow_mut().push(Box::new(act));
    let (status, _) = put(&world, "models", Some(1), WIDER);
    assert_eq!(status, ExitStatus::Conflict);
    assert_eq!(models(&world), (2, "# theirs\n".to_owned()));
}

#[test]
fn others_edits_are_kept() {
    let world = start();
    world
        .store
        .inject_update_faults([Some(UpdateFault::Conflict)]);
    let other = world.clone();
    let act = move || edit_by_other(&other, "front", 1, "# theirs\n");
    world.time.meanwhile.borrow_mut().push(Box::new(act));
    assert_eq!(put(&world, "models", Some(1), WIDER).0, ExitStatus::Done);
    assert_eq!(models(&world), (2, WIDER.to_owned()));
    assert_eq!(front_revision(&world), 2);
}

#[test]
fn an_outage_is_told_apart_from_doubt() {
    let world = start();
    world.store.set_down(true);
    let (status, said) = put(&world, "models", Some(1), WIDER);
    assert_eq!(status, ExitStatus::Unavailable);
    assert!(said.contains("nothing was changed"), "{said}");

    world.store.set_down(false);
    world
        .store
        .inject_update_faults([Some(UpdateFault::ReplyLost)]);
    let store = world.store.clone();
    let act = move || store.set_down(true);
    world.time.meanwhile.borrow_mut().push(Box::new(act));
    let (status, said) = put(&world, "models", Some(1), WIDER);
    assert_eq!(status, ExitStatus::Unavailable);
    assert!(said.contains("may have taken effect"), "{said}");
    world.store.set_down(false);
    assert_eq!(models(&world).0, 2);
}

#[test]
fn a_shown_section_can_be_put() {
    let world = start();
    let shown = world.run(&["section", "show", "models"]).unwrap();
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("shown.yaml");
    let edited = crate::common::table_of(&shown).replace("size: 4", "size: 8");
    std::fs::write(&path, edited).unwrap();
    let file = path.to_str().unwrap();
    let report = world.describe(&["section", "put", "models", file, "--owner", "models"]);
    assert!(report.contains("revision 2"), "{report}");
    assert_eq!(models(&world), (2, WIDER.to_owned()));
    let again = world.describe(&["section", "put", "models", file, "--owner", "models"]);
    assert!(again.contains("[Conflict]"), "{again}");
}

#[test]
fn a_put_keeps_the_good_sections() {
    let world = start();
    assert_eq!(put(&world, "models", Some(1), WIDER).0, ExitStatus::Done);
    let value = world
        .read(&document_key())
        .replace("deployments:", "deployments: [");
    world.write(&document_key(), Arc::from(value));
    let listed = world.describe(&["section", "list"]);
    assert!(listed.contains("models   models  2         2 "), "{listed}");

    let mut fresh = ConfigState::default();
    let document = Document::decode(&world.read(&document_key())).unwrap();
    accept(&mut fresh, ObjectVersion(9), Arc::new(document));
    assert!(fresh.in_force.configuration.deployments.is_empty());
    let kept = GoodSections::decode(&world.read(&good_sections_key())).unwrap();
    assert!(apply_last_good(&mut fresh, &kept));
    let deployment = DeploymentName::new("quotes").unwrap();
    let spec = &fresh.in_force.configuration.deployments[&deployment];
    assert_eq!(spec.group_size, 8);
}

#[test]
fn sections_are_listed_with_their_faults() {
    let world = start();
    let mut value = world.read(&document_key()).to_string();
    value = value.replace("services: {}", "services: []");
    world.write(&document_key(), Arc::from(value));
    let mut report = world.describe(&["section", "list"]);
    report.push_str(&world.describe(&["section", "show", "models"]));
    report.push_str(&world.describe(&["section", "history", "models"]));
    report.push_str(&world.describe(&["section", "show", "nobody"]));
    insta::assert_snapshot!(report);
}
