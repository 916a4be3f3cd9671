//! Helpers that run a node's event loop without network.

use base::prelude::*;
use edge::border::ports::{CollectionItem, StoreCollection};
use edge::{
    Arrival, ArrivalOutcome, CollectionEvent, Digest, EdgeBounds, EdgeEffect, EdgeEvent,
    EdgeQuestion, EdgeReply, EdgeSettings, EdgeState, EdgeStatus, EdgeTimes, PassRequest,
    PeerMessage,
};
use exchange::{HeldRequest, NotRunProof, RequestMessage};
use intent::{CallKind, ClientLimits, Route, RoutingConfig, Service, TokenCounts, WeightedService};
use notices::ServerRun;
use quarantine::{PromptParts, RequestDigest};
use relay::{AttemptId, SendOrder};
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
        domain: DomainName::new("zone-a").unwrap(),
        capacity: 250,
        link_rate: 2_500_000,
        ingress: "127.0.0.1:1".parse().unwrap(),
        ready: "127.0.0.1:2".parse().unwrap(),
        peers: "127.0.0.1:3".parse().unwrap(),
        passing: "127.0.0.1:6".parse().unwrap(),
        metrics: "127.0.0.1:4".parse().unwrap(),
        store: "127.0.0.1:5".parse().unwrap(),
        is_first_start: false,
        bounds: EdgeBounds {
            grace: Duration::from_secs(8),
            retry_share: 0.2,
            retry_slack: 100.0,
            retry_window: Duration::from_secs(10),
            config_apply: Duration::from_secs(2),
            evacuate: None,
            cold: None,
        },
    }
}

pub fn start(name: &str) -> EdgeState {
    EdgeState::new(settings(name), EdgeTimes::default(), 1, at(0))
}

/// Configuration with one route to a plain service.
pub fn config(version: u64, prefix: &str) -> RoutingConfig {
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
        services: vec![WeightedService {
            service: service.clone(),
            weight: 1,
        }],
    };
    let service = Service {
        name: service,
        connection_limit: 100,
        cold: None,
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

pub fn config_item(version: u64, prefix: &str) -> CollectionItem {
    CollectionItem::RoutingConfig(Arc::new(config(version, prefix)), "text".into())
}

pub fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: HostName::new(id).unwrap(),
        incarnation: HostIncarnation(1),
        service: ServiceName::new("plain").unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: DomainName::new("zone-a").unwrap(),
        fabric: None,
        presence: Presence::Ready,
        slots: 6,
        cold: None,
        sequence: 0,
        staged: Vec::new(),
        membership: None,
    }
}

pub fn apply_event(
    state: &mut EdgeState,
    collection: StoreCollection,
    event: CollectionEvent,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    state.handle(EdgeEvent::Collection(collection, event), now)
}

pub fn list(
    state: &mut EdgeState,
    collection: StoreCollection,
    items: Vec<CollectionItem>,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    apply_event(
        state,
        collection,
        CollectionEvent::Listed(items, ObjectVersion(1)),
        now,
    )
}

/// Node that has a configuration, one endpoint and another node.
pub fn ready(name: &str, other: &str) -> EdgeState {
    let mut state = start(name);
    list(
        &mut state,
        StoreCollection::RoutingConfig,
        vec![config_item(1, "/x/")],
        at(1),
    );
    let items = vec![CollectionItem::Endpoint(endpoint("p-1"))];
    list(&mut state, StoreCollection::Endpoints, items, at(1));
    let entry = CollectionItem::Shared(StoredObject {
        key: ObjectKey::new(&format!("node.{other}")),
        version: ObjectVersion(1),
        value: r#"{"address":"127.0.0.1:33","rank":250}"#.into(),
    });
    list(&mut state, StoreCollection::Shared, vec![entry], at(1));
    state
}

pub fn status(state: &mut EdgeState, now: ClockTime) -> EdgeStatus {
    match ask(state, EdgeQuestion::Status, now) {
        EdgeReply::Status(status) => status,
        other => panic!("no status: {other:?}"),
    }
}

pub fn ask(state: &mut EdgeState, question: EdgeQuestion, now: ClockTime) -> EdgeReply {
    let effects = state.handle(EdgeEvent::Asked(1, question), now);
    let replies = effects.into_iter().filter_map(|effect| match effect {
        EdgeEffect::Reply(_, reply) => Some(reply),
        _ => None,
    });
    replies.last().expect("a question gets a reply at once")
}

pub fn arrival(call: u64, path: &str, now: ClockTime) -> Arrival {
    Arrival {
        call: CallId(call),
        arrived_at: now,
        id: format!("request-{call}").into(),
        host: "a.example".into(),
        path: path.into(),
        key: None,
        model: None,
        prompt: PromptParts::default(),
        tokens: TokenCounts::default(),
        is_resumed: false,
        digest: RequestDigest(call),
        client_deadline: Some(now + Duration::from_secs(4)),
    }
}

/// Request to carry an attempt of [`arrival`] that was accepted by version 1.
pub fn pass_request(call: u64, order: &SendOrder) -> PassRequest {
    PassRequest {
        call: CallId(call),
        id: format!("request-{call}").into(),
        run: ServerRun {
            server: order.target.clone(),
            incarnation: order.incarnation,
        },
        host: "a.example".into(),
        path: "/x/".into(),
        version: Some(1),
        is_repeat: order.is_repeat,
        suspects: None,
    }
}

pub fn arrive(state: &mut EdgeState, call: u64, path: &str, now: ClockTime) -> ArrivalOutcome {
    let arrival = arrival(call, path, now);
    match ask(state, EdgeQuestion::Arrive(Box::new(arrival)), now) {
        EdgeReply::Arrival(outcome) => *outcome,
        other => panic!("no arrival: {other:?}"),
    }
}

pub fn digest(from: &str, can_own: bool, config_version: u64) -> EdgeEvent {
    EdgeEvent::Peer(PeerMessage::Digest(Box::new(Digest {
        from: node(from),
        config_version,
        known_config: config_version,
        store_contact: None,
        heard_contact: None,
        record_version: ObjectVersion(0),
        targets_version: ObjectVersion(0),
        forwarded_version: ObjectVersion(0),
        received_version: None,
        is_owner: false,
        can_own,
        is_cut_off: false,
        summing_hub: None,
        has_sums: false,
        counts: Vec::new(),
        silent_heads: Vec::new(),
        slow_groups: Vec::new(),
        quarantine_hash: 0,
        weight: edge::NodeWeight(1_000),
        limits: Vec::new(),
        leaving: Vec::new(),
        departures: Vec::new(),
        evacuations: None,
        demand: Vec::new(),
    })))
}

/// First attempt of a request.
pub fn first_attempt(call: CallId) -> AttemptId {
    AttemptId { call, number: 1 }
}

/// Request that is never sent.
struct UnsentRequest;

impl RequestMessage for UnsentRequest {}

/// Proof that a request was not run.
pub fn not_run() -> NotRunProof {
    HeldRequest::new(UnsentRequest).give_up()
}
