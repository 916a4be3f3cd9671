//! A node's loop without a border.

use base::prelude::*;
use edge::border::ports::{Feed, FeedItem};
use edge::{
    Arrival, ArrivalOutcome, Digest, EdgeAnswer, EdgeBounds, EdgeEffect, EdgeEvent, EdgeQuestion,
    EdgeSettings, EdgeState, EdgeStatus, EdgeTimes, FeedEvent, PeerMessage,
};
use intent::{CallKind, ClientLimits, Route, RoutingConfig, Service, WeightedService};
use replicas::{Endpoint, Presence};
use store::{ObjectKey, StoredObject};

pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

pub fn node(name: &str) -> NodeName {
    NodeName::new(name).unwrap()
}

pub fn settings(name: &str) -> EdgeSettings {
    EdgeSettings {
        node: node(name),
        zone: DomainName::new("zone-a").unwrap(),
        rank: 250,
        front: "127.0.0.1:1".parse().unwrap(),
        ready: "127.0.0.1:2".parse().unwrap(),
        peers: "127.0.0.1:3".parse().unwrap(),
        metrics: "127.0.0.1:4".parse().unwrap(),
        store: "127.0.0.1:5".parse().unwrap(),
        is_first_start: false,
        bounds: EdgeBounds {
            grace: Duration::from_secs(8),
            retry_share: 0.2,
            retry_slack: 100.0,
            retry_window: Duration::from_secs(10),
        },
    }
}

pub fn start(name: &str) -> EdgeState {
    EdgeState::new(settings(name), EdgeTimes::default(), 1, at(0))
}

/// Configuration with one route to a plain service.
pub fn intent(version: u64, prefix: &str) -> RoutingConfig {
    let service = ServiceName::new("plain").unwrap();
    let route = Route {
        name: "route".into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        kind: CallKind::OnceOnly,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(300),
        gap_objective: None,
        attempts: 1,
        priority: 1,
        is_public: true,
        targets: vec![WeightedService {
            service: service.clone(),
            weight: 1,
        }],
    };
    let service = Service {
        name: service,
        connection_limit: 100,
        engine: None,
    };
    let limits = ClientLimits {
        header_bytes: 16_384,
        body_bytes: 1_000_000,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RoutingConfig::new(version, vec![route], vec![service], None, limits)
}

pub fn intent_item(version: u64, prefix: &str) -> FeedItem {
    FeedItem::RoutingConfig(Arc::new(intent(version, prefix)), "text".into())
}

pub fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: HostName::new(id).unwrap(),
        incarnation: HostIncarnation(1),
        service: ServiceName::new("plain").unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: DomainName::new("zone-a").unwrap(),
        fabric: None,
        presence: Presence::Ready,
        slots: 6,
        sequence: 0,
        staged: Vec::new(),
        membership: None,
    }
}

pub fn feed(state: &mut EdgeState, feed: Feed, news: FeedEvent, now: ClockTime) -> Vec<EdgeEffect> {
    state.handle(EdgeEvent::Fed(feed, news), now)
}

pub fn list(
    state: &mut EdgeState,
    of: Feed,
    items: Vec<FeedItem>,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    feed(state, of, FeedEvent::Listed(items, ObjectVersion(1)), now)
}

/// Node that knows a configuration, one endpoint and another node.
pub fn ready(name: &str, other: &str) -> EdgeState {
    let mut state = start(name);
    list(
        &mut state,
        Feed::RoutingConfig,
        vec![intent_item(1, "/x/")],
        at(1),
    );
    let items = vec![FeedItem::Endpoint(endpoint("p-1"))];
    list(&mut state, Feed::Endpoints, items, at(1));
    let entry = FeedItem::Shared(StoredObject {
        key: ObjectKey::new(&format!("node.{other}")),
        version: ObjectVersion(1),
        value: r#"{"address":"127.0.0.1:33","rank":250}"#.into(),
    });
    list(&mut state, Feed::Shared, vec![entry], at(1));
    state
}

pub fn status(state: &mut EdgeState, now: ClockTime) -> EdgeStatus {
    match ask(state, EdgeQuestion::Status, now) {
        EdgeAnswer::Status(status) => status,
        other => panic!("no status: {other:?}"),
    }
}

pub fn ask(state: &mut EdgeState, question: EdgeQuestion, now: ClockTime) -> EdgeAnswer {
    let effects = state.handle(EdgeEvent::Asked(1, question), now);
    let answers = effects.into_iter().filter_map(|effect| match effect {
        EdgeEffect::Answer(_, answer) => Some(answer),
        _ => None,
    });
    answers.last().expect("a question is answered at once")
}

pub fn arrive(state: &mut EdgeState, call: u64, path: &str, now: ClockTime) -> ArrivalOutcome {
    let arrival = Arrival {
        call: CallId(call),
        id: format!("request-{call}").into(),
        host: "a.example".into(),
        path: path.into(),
        key: None,
        model: None,
        client_deadline: Some(now + Duration::from_secs(4)),
    };
    match ask(state, EdgeQuestion::Arrive(Box::new(arrival)), now) {
        EdgeAnswer::Arrival(outcome) => *outcome,
        other => panic!("no arrival: {other:?}"),
    }
}

pub fn digest(from: &str, can_own: bool, intent_version: u64) -> EdgeEvent {
    EdgeEvent::Peer(PeerMessage::Digest(Box::new(Digest {
        from: node(from),
        intent_version,
        record_version: ObjectVersion(0),
        places_version: ObjectVersion(0),
        owns: false,
        can_own,
        counts: Vec::new(),
        silent: Vec::new(),
        paces: Vec::new(),
    })))
}
