//! Handling of older and invalid documents by the gateway's event loop.

use base::prelude::*;
use document::{Document, GoodSections, Section};
use gateway::{
    GatewayEffect, GatewayEvent, GatewayLoop, GatewayQuery, GatewayReply, GatewayState,
    GatewayStatus, GatewayTimes,
};
use interface::{HostEntry, Presence};
use watch::{WatchEffect, WatchEvent, WatchTimes};

const NOW: ClockTime = ClockTime::from_millis(50_000);
const GOOD: &str = "workspaces:\n  debrecen: {services: []}\n";

fn start_loop() -> GatewayLoop {
    let times = GatewayTimes {
        watch: WatchTimes {
            poll_interval: Duration::from_millis(500),
            read_interval: Duration::from_secs(1),
            watch_timeout: Duration::from_secs(20),
        },
        report_validity: Duration::from_secs(2),
        balancer_notice: Duration::from_secs(5),
        drain_limit: Duration::from_secs(60),
    };
    let node = NodeName::new("entry-1").unwrap();
    let domain = DomainName::new("kozep-a").unwrap();
    let mut gateway = GatewayLoop(GatewayState::new(node, domain, times, 1, 17));
    gateway.wake(NOW);
    gateway
}

fn document_with(revision: u64, text: &str) -> Arc<Document> {
    let section = Section {
        owner: TeamName::new("desk").unwrap(),
        revision: SectionRevision(revision),
        text: Arc::from(text),
        edits: Default::default(),
    };
    let mut document = Document::default();
    let name = SectionName::new("front").unwrap();
    document.sections.insert(name, section);
    Arc::new(document)
}

fn read(gateway: &mut GatewayLoop, version: u64, document: Arc<Document>) -> Vec<GatewayEffect> {
    let read = Some((ObjectVersion(version), document));
    gateway.handle(GatewayEvent::Watch(WatchEvent::DocumentRead(read)), NOW)
}

fn status(gateway: &mut GatewayLoop) -> Box<GatewayStatus> {
    let query = GatewayQuery::Status;
    let effects = gateway.handle(GatewayEvent::QueryReceived { id: 1, query }, NOW);
    let status = effects.into_iter().find_map(|effect| match effect {
        GatewayEffect::Reply {
            reply: GatewayReply::Status(status),
            ..
        } => Some(status),
        _ => None,
    });
    status.unwrap()
}

fn list_host(gateway: &mut GatewayLoop) {
    let host = HostEntry {
        host: HostName::new("h1").unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: DomainName::new("kozep-a").unwrap(),
        fabric: None,
        service: Some(ServiceName::new("foglalas").unwrap()),
        accelerators: 0,
        presence: Presence::Live,
    };
    gateway.handle(
        GatewayEvent::Watch(WatchEvent::HostsRead(Some(vec![host]))),
        NOW,
    );
}

fn good_sections(revision: u64, text: &str) -> GoodSections {
    let document = document_with(revision, text);
    document::queries::effective_config(&document, &GoodSections::default()).good
}

fn starts_watch(effects: &[GatewayEffect]) -> bool {
    let is_watch = |effect: &GatewayEffect| {
        matches!(
            effect,
            GatewayEffect::Watch(WatchEffect::ReadDocument { .. })
        )
    };
    effects.iter().any(is_watch)
}

fn reads_good_sections(effects: &[GatewayEffect]) -> bool {
    let is_read = |effect: &GatewayEffect| {
        matches!(effect, GatewayEffect::Watch(WatchEffect::ReadGoodSections))
    };
    effects.iter().any(is_read)
}

#[test]
fn an_older_document_is_refused_and_not_read_again_at_once() {
    let mut gateway = start_loop();
    assert!(starts_watch(&read(&mut gateway, 9, document_with(2, GOOD))));
    let effects = read(&mut gateway, 4, document_with(1, ""));
    assert!(
        !starts_watch(&effects),
        "an older document must not be read again at once"
    );
    assert_eq!(
        status(&mut gateway).config.in_force.version,
        ObjectVersion(9)
    );
    let later = NOW + Duration::from_secs(1);
    assert!(starts_watch(&gateway.wake(later)));
}

#[test]
fn a_gateway_that_starts_late_uses_the_last_good_section() {
    let mut gateway = start_loop();
    let effects = read(&mut gateway, 9, document_with(3, "workspaces: ["));
    assert!(reads_good_sections(&effects));
    assert_eq!(
        status(&mut gateway).config.in_force.configuration,
        Default::default()
    );

    list_host(&mut gateway);
    assert!(!status(&mut gateway).ready);

    let lost = gateway.handle(GatewayEvent::Watch(WatchEvent::GoodSectionsRead(None)), NOW);
    assert!(!reads_good_sections(&lost));
    assert!(reads_good_sections(
        &gateway.wake(NOW + Duration::from_secs(1))
    ));

    let good = good_sections(2, GOOD);
    let effects = gateway.handle(
        GatewayEvent::Watch(WatchEvent::GoodSectionsRead(Some(good))),
        NOW,
    );
    assert!(!reads_good_sections(&effects));
    let config = status(&mut gateway).config;
    assert_eq!(config.in_force.configuration.workspaces.len(), 1);
    assert_eq!(
        config.in_force.rejected[0].in_force,
        Some(SectionRevision(2))
    );
    assert!(status(&mut gateway).ready);
}

#[test]
fn a_valid_document_needs_no_further_read() {
    let mut gateway = start_loop();
    let effects = read(&mut gateway, 9, document_with(3, GOOD));
    assert!(!reads_good_sections(&effects));
}
