//! Handling of older and invalid documents by the controller's event loop.

use base::prelude::*;
use controller::{
    ControllerEffect, ControllerEvent, ControllerLoop, ControllerState, ControllerTimes,
};
use document::{Document, GoodSections, Section};
use groups::GroupSettings;
use interface::{HostEntry, Presence};
use watch::{WatchEffect, WatchEvent, WatchTimes};

const NOW: ClockTime = ClockTime::from_millis(50_000);
const GOOD: &str = "deployments:\n  quotes: {model: m, group_size: 1, groups: 1}\n";

fn start_loop() -> ControllerLoop {
    let times = ControllerTimes {
        watch: WatchTimes {
            poll_interval: Duration::from_millis(500),
            read_interval: Duration::from_secs(1),
            watch_timeout: Duration::from_secs(20),
        },
        release_limit: Duration::from_secs(5),
    };
    let node = NodeName::new("entry-1").unwrap();
    let domain = DomainName::new("kozep-a").unwrap();
    let settings = GroupSettings::default();
    let state = ControllerState::new(node, domain, times, settings, 1, 17);
    let mut controller = ControllerLoop(state);
    controller.wake(NOW);
    let host = HostEntry {
        host: HostName::new("h1").unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: DomainName::new("kozep-a").unwrap(),
        fabric: Some(FabricName::new("kozep-a-1").unwrap()),
        service: None,
        accelerators: 8,
        presence: Presence::Live,
    };
    controller.handle(
        ControllerEvent::Watch(WatchEvent::HostsRead(Some(vec![host]))),
        NOW,
    );
    controller.handle(
        ControllerEvent::Watch(WatchEvent::FabricsRead(Some(Vec::new()))),
        NOW,
    );
    controller
}

fn document_with(revision: u64, text: &str) -> Arc<Document> {
    let section = Section {
        owner: TeamName::new("ml").unwrap(),
        revision: SectionRevision(revision),
        text: Arc::from(text),
        edits: Default::default(),
    };
    let mut document = Document::default();
    let name = SectionName::new("models").unwrap();
    document.sections.insert(name, section);
    Arc::new(document)
}

fn read(
    controller: &mut ControllerLoop,
    version: u64,
    document: Arc<Document>,
) -> Vec<ControllerEffect> {
    let read = Some((ObjectVersion(version), document));
    controller.handle(ControllerEvent::Watch(WatchEvent::DocumentRead(read)), NOW)
}

/// Whether any fabric domain has an effect within the next minute.
fn has_decision(controller: &mut ControllerLoop) -> bool {
    let mut later = (0..60).map(|second| NOW + Duration::from_secs(second));
    let is_decision = |effect: &ControllerEffect| matches!(effect, ControllerEffect::Fabric(_));
    later.any(|now| controller.wake(now).iter().any(is_decision))
}

#[test]
fn an_older_document_is_not_read_again_at_once() {
    let mut controller = start_loop();
    let is_watch = |effect: &ControllerEffect| {
        matches!(
            effect,
            ControllerEffect::Watch(WatchEffect::ReadDocument { .. })
        )
    };
    let newer = read(&mut controller, 9, document_with(2, GOOD));
    assert!(newer.iter().any(is_watch));
    let older = read(&mut controller, 4, document_with(1, ""));
    assert!(!older.iter().any(is_watch));
}

#[test]
fn nothing_is_decided_while_a_last_good_section_may_be_missing() {
    let mut controller = start_loop();
    let effects = read(&mut controller, 9, document_with(3, "deployments: ["));
    let is_read = |effect: &ControllerEffect| {
        matches!(
            effect,
            ControllerEffect::Watch(WatchEffect::ReadGoodSections)
        )
    };
    assert!(effects.iter().any(is_read));
    assert!(!has_decision(&mut controller));

    let document = document_with(2, GOOD);
    let good = document::queries::effective_config(&document, &GoodSections::default()).good;
    controller.handle(
        ControllerEvent::Watch(WatchEvent::GoodSectionsRead(Some(good))),
        NOW,
    );
    assert!(has_decision(&mut controller));
}
