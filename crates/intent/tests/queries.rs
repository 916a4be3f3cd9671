//! Lookup of routes and workspaces, and replacement of versions.

use std::collections::HashMap;

use base::prelude::*;
use intent::queries::{AccessOutcome, check_access, find_route, pick_service};
use intent::{
    AdoptOutcome, CallKind, ClientLimits, ConfigSlot, Route, RoutingConfig, WeightedService,
    Workspace,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: CallKind::Idempotent,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(300),
        gap_objective: None,
        attempts: 2,
        priority: 1,
        is_public: false,
        services: vec![WeightedService {
            service: ServiceName::new("plain").unwrap(),
            weight: 1,
        }],
    }
}

fn config(version: u64, routes: Vec<Route>, keys: Option<&[(&str, &str)]>) -> RoutingConfig {
    let workspaces = keys.map(|keys| {
        let entry = |(key, name): &(&str, &str)| {
            let workspace = Workspace {
                name: WorkspaceName::new(name).unwrap(),
                can_be_sent: true,
                priority: None,
            };
            (Arc::from(*key), workspace)
        };
        keys.iter().map(entry).collect::<HashMap<_, _>>()
    });
    let limits = ClientLimits {
        header_bytes: 16_384,
        body_bytes: 1_000_000,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RoutingConfig::new(version, routes, Vec::new(), workspaces, limits)
}

#[test]
fn the_longest_prefix_wins() {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/"),
    ];
    let config = config(1, routes, None);
    let found = |host, path| find_route(&config, host, path).map(|route| route.name.to_string());
    let cases = [
        ("a.example", "/x/y/z", Some("long")),
        ("a.example", "/x/z", Some("short")),
        ("A.Example:8080", "/x/z", Some("short")),
        ("a.example", "/x", None),
        ("a.example", "/z", None),
        ("b.example", "/anything", Some("other")),
        ("c.example", "/x/", None),
    ];
    for (host, path, expected) in cases {
        assert_eq!(found(host, path).as_deref(), expected, "{host}{path}");
    }
}

#[test]
fn requests_are_split_by_weight() {
    let mut split = route("split", "a.example", "/");
    split.services = vec![
        WeightedService {
            service: ServiceName::new("old").unwrap(),
            weight: 9,
        },
        WeightedService {
            service: ServiceName::new("new").unwrap(),
            weight: 1,
        },
        WeightedService {
            service: ServiceName::new("off").unwrap(),
            weight: 0,
        },
    ];
    let picks = (0..100).filter_map(|draw| pick_service(&split, draw));
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for service in picks {
        *counts.entry(service.as_str()).or_default() += 1;
    }
    assert_eq!(counts.get("old"), Some(&90));
    assert_eq!(counts.get("new"), Some(&10));
    assert_eq!(counts.get("off"), None);
    split.services.clear();
    assert_eq!(pick_service(&split, 7), None);
}

#[test]
fn access_depends_on_the_key_and_the_route() {
    let with_keys = config(1, Vec::new(), Some(&[("k1", "depot"), ("k2", "clinic")]));
    let closed = route("closed", "a.example", "/");
    let mut public = closed.clone();
    public.is_public = true;
    let name = |outcome| match outcome {
        AccessOutcome::Workspace(workspace) => workspace.name.to_string(),
        AccessOutcome::Public => "public".to_owned(),
        AccessOutcome::Denied => "denied".to_owned(),
    };
    let cases = [
        (&closed, Some("k1"), "depot"),
        (&closed, Some("k2"), "clinic"),
        (&closed, Some("k3"), "denied"),
        (&closed, None, "denied"),
        (&public, None, "public"),
        (&public, Some("k3"), "public"),
        (&public, Some("k2"), "clinic"),
    ];
    for (route, key, expected) in cases {
        assert_eq!(
            name(check_access(&with_keys, route, key)),
            expected,
            "{key:?}"
        );
    }
    let without = config(1, Vec::new(), None);
    assert_eq!(name(check_access(&without, &closed, None)), "public");
}

#[test]
fn a_version_is_never_replaced_by_an_older_one() {
    let mut slot = ConfigSlot::default();
    let version = |number| Arc::new(config(number, Vec::new(), None));
    assert_eq!(slot.adopt(version(5)), AdoptOutcome::Adopted);
    assert_eq!(slot.adopt(version(3)), AdoptOutcome::Older);
    assert_eq!(slot.adopt(version(5)), AdoptOutcome::Same);
    assert_eq!(slot.version(), Some(5));
    assert_eq!(slot.adopt(version(9)), AdoptOutcome::Adopted);
    assert_eq!(slot.version(), Some(9));
}
