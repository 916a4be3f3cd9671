//! A faulty section is replaced by its last good version; the others take effect.

mod common;

use base::prelude::*;
use common::{FRONT, MODELS, make_document, write_text};
use document::queries::effective_config;
use document::{CallerIndex, Document, EffectiveConfig, GoodSections, KeyDigest};

/// Section of a third team, which changes in every case and must take effect.
const HOSPITAL: &str = "workspaces:\n  hospital: {services: [], share: 1}\n";
const HOSPITAL_CHANGED: &str = "workspaces:\n  hospital: {services: [], share: 7}\n";

struct Case {
    name: &'static str,
    writes: &'static [(&'static str, &'static str)],
    removed: Option<&'static str>,
}

const CASES: &[Case] = &[
    Case {
        name: "bad syntax",
        writes: &[("front", "services: [")],
        removed: None,
    },
    Case {
        name: "faulty number",
        writes: &[(
            "models",
            "deployments:\n  quotes: {model: m, group_size: 0, groups: 2}",
        )],
        removed: None,
    },
    Case {
        name: "unknown deployment",
        writes: &[("front", "services:\n  fogas-llm: {deployment: qoutes}")],
        removed: None,
    },
    Case {
        name: "definition removed while in use",
        writes: &[("models", "deployments: {}")],
        removed: None,
    },
    Case {
        name: "section removed while in use",
        writes: &[],
        removed: Some("models"),
    },
    Case {
        name: "definition and use removed together",
        writes: &[("models", "deployments: {}"), ("front", "services: {}")],
        removed: None,
    },
    Case {
        name: "second definition in a section earlier by name",
        writes: &[(
            "chat",
            "deployments:\n  quotes: {model: m, group_size: 1, groups: 1}",
        )],
        removed: None,
    },
    Case {
        name: "second definition in a section later by name",
        writes: &[(
            "quotes",
            "deployments:\n  quotes: {model: m, group_size: 1, groups: 1}",
        )],
        removed: None,
    },
    Case {
        name: "new section refers to a rejected one",
        writes: &[
            ("chat", "services:\n  chat: {deployment: new}"),
            (
                "models",
                "deployments:\n  new: {model: m, group_size: 0, groups: 2}",
            ),
        ],
        removed: None,
    },
];

fn describe(effective: &EffectiveConfig) -> String {
    let mut text = String::new();
    for rejected in &effective.rejected {
        let in_force = match rejected.in_force {
            Some(revision) => format!("revision {revision} in force"),
            None => "left out".to_owned(),
        };
        text.push_str(&format!(
            "  {} revision {}: {in_force}\n",
            rejected.section, rejected.revision
        ));
        for fault in &rejected.faults {
            text.push_str(&format!("    {fault}\n"));
        }
    }
    let configuration = &effective.configuration;
    text.push_str(&format!(
        "  deployments {:?} services {:?} shares {:?}\n",
        configuration
            .deployments
            .keys()
            .map(ToString::to_string)
            .collect::<Vec<_>>(),
        configuration
            .services
            .keys()
            .map(ToString::to_string)
            .collect::<Vec<_>>(),
        configuration
            .workspaces
            .values()
            .map(|spec| spec.share)
            .collect::<Vec<_>>(),
    ));
    text
}

fn initial_document() -> Document {
    make_document(&[("front", FRONT), ("hospital", HOSPITAL), ("models", MODELS)])
}

#[test]
fn faulty_sections_fall_back_to_their_last_good_version() {
    let first = initial_document();
    let good = effective_config(&first, &GoodSections::default());
    assert_eq!(good.rejected, []);
    let mut report = String::new();
    for case in CASES {
        let mut document = first.clone();
        write_text(&mut document, "hospital", HOSPITAL_CHANGED);
        for (section, text) in case.writes {
            write_text(&mut document, section, text);
        }
        if let Some(section) = case.removed {
            document
                .sections
                .remove(&SectionName::new(section).unwrap());
        }
        let next = effective_config(&document, &good.good);
        report.push_str(&format!("{}\n{}", case.name, describe(&next)));
    }
    insta::assert_snapshot!(report);
}

#[test]
fn a_faulty_section_without_a_good_version_is_left_out() {
    let document = make_document(&[("front", "services: ["), ("models", MODELS)]);
    let found = effective_config(&document, &GoodSections::default());
    insta::assert_snapshot!(describe(&found));
}

#[test]
fn a_key_used_twice_is_rejected() {
    let digest = KeyDigest::of_key("desk").to_hex();
    let text = |workspace: &str, caller: &str| {
        format!(
            "workspaces:\n  {workspace}:\n    services: []\n    callers:\n      {caller}: {{key_sha256: {digest}}}\n"
        )
    };
    let first = make_document(&[("b", &text("theatre", "desk"))]);
    let good = effective_config(&first, &GoodSections::default());
    let mut document = first;
    write_text(&mut document, "a", &text("clinic", "tablet"));
    let next = effective_config(&document, &good.good);
    insta::assert_snapshot!(describe(&next));
    let callers = CallerIndex::new(&next.configuration);
    let owner = callers.find(KeyDigest::of_key("desk"));
    assert_eq!(owner.unwrap().0.as_str(), "theatre");
}

#[test]
fn an_unreadable_entry_does_not_affect_other_sections() {
    let mut value = initial_document().encode().to_string();
    value = value.replacen("\"revision\":1", "\"revision\":\"one\"", 1);
    let document = Document::decode(&value).unwrap();
    assert_eq!(document.unreadable.len(), 1);
    assert_eq!(document.encode().as_ref(), value);
    let good = effective_config(&initial_document(), &GoodSections::default());
    insta::assert_snapshot!(describe(&effective_config(&document, &good.good)));
}

#[test]
fn good_sections_are_unchanged_by_encoding_and_decoding() {
    let good = effective_config(&initial_document(), &GoodSections::default()).good;
    assert_eq!(GoodSections::decode(&good.encode()), Ok(good));
}

/// JSON of an object with sections, and one more entry under a name that no section can have.
fn with_odd_name(encoded: &str, name: &str) -> String {
    let name = serde_json::to_string(name).unwrap();
    let entry = format!("{{\"sections\":{{{name}:{{\"note\":1}},");
    encoded.replacen("{\"sections\":{", &entry, 1)
}

const ODD_NAMES: [&str; 5] = ["", "backup of 12 May", "a/b", "\u{e9}", "\u{1}"];

#[test]
fn an_entry_whose_name_no_section_can_have_does_not_affect_the_sections() {
    let initial = initial_document();
    for name in ODD_NAMES {
        let document = Document::decode(&with_odd_name(&initial.encode(), name)).unwrap();
        assert_eq!(document.sections, initial.sections, "{name:?}");
        let encoded = document.encode();
        assert_eq!(Document::decode(&encoded).unwrap(), document, "{name:?}");
        assert!(encoded.contains("{\"note\":1}"), "{encoded}");
    }
}

#[test]
fn an_odd_entry_among_the_last_good_sections_does_not_affect_the_others() {
    let good = effective_config(&initial_document(), &GoodSections::default()).good;
    for name in ODD_NAMES.into_iter().chain(["sound-name"]) {
        let encoded = with_odd_name(&good.encode(), name);
        assert_eq!(
            GoodSections::decode(&encoded).as_ref(),
            Ok(&good),
            "{name:?}"
        );
    }
}
