//! Names that the platform allows and the project wouldn't give.

use std::net::Ipv4Addr;
use std::sync::atomic::Ordering;

use rustix::process::Signal;
use serde_json::{Value, json};

use crate::{Node, PlatformNames, Server, Store, request_at, spawn_service, wait_line};

fn start(name: &str, names: PlatformNames) -> Node {
    let mut store = Store::new(vec![spawn_service(|| Server)], Vec::new());
    store.names = names;
    Node::start_with(name, store, Ipv4Addr::LOCALHOST, (0, 0))
}

#[test]
fn a_node_serves_whatever_the_names_of_tenants_services_and_zones() {
    let names = [
        ("blank", "Kalinga Tactile Services Office"),
        ("marks", "a/b?c=d&e#f%20+\"g\""),
    ];
    for (node, text) in names {
        let names = PlatformNames {
            tenant: text,
            service: text,
            zone: text,
        };
        let node = start(&format!("names {node}"), names);
        let (status, body, _) = node.request("/o/item", "key-1");
        assert_eq!(status, 200, "{text}: {body}");
        let received: Value = serde_json::from_str(&body).unwrap();
        assert_eq!(received["tenant"], text);
        assert_eq!(node.request("/o/item", "key-2").0, 401);
    }
}

/// Guards against a request that reaches a server without its tenant.
#[test]
fn requests_of_a_tenant_whose_name_no_header_carries_are_rejected_as_not_run() {
    for tenant in ["a\r\nx-other: 1", " depot"] {
        let names = PlatformNames {
            tenant,
            ..PlatformNames::default()
        };
        let node = start("unsendable", names);
        for path in ["/o/item", "/i/item"] {
            let (status, body, seal) = request_at(node.ingress, "r-1", path, "key-1");
            assert_eq!((status, seal), (503, None), "{tenant:?}: {body}");
        }
    }
}

#[test]
fn a_zone_with_a_blank_in_its_name_is_evacuated() {
    let names = PlatformNames {
        zone: "zone of 12 May",
        ..PlatformNames::default()
    };
    let mut node = start("evacuated zone", names);
    node.settings_value["bounds"]["evacuateMs"] = json!(5_000);
    std::fs::write(&node.settings_path, node.settings_value.to_string()).unwrap();
    node.signal(Signal::HUP);
    node.evacuations.fetch_add(1, Ordering::Relaxed);
    let line = wait_line(&node.lines, "failure domain evacuated");
    assert_eq!(line["domain"], "zone of 12 May");
    assert_eq!(node.request("/o/evacuated", "key-1").0, 503);
}
