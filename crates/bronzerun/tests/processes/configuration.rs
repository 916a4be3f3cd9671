//! Configuration changes come into force, and an older version never replaces a newer one.

use std::time::Instant;

use serde_json::{Value, json};

use crate::support::{Fleet, FleetSpec, TcpProxy, wait_until, weddings_text};

/// Calls to a store that holds an older document, or is down, before a check ends.
const STALE_READS: u64 = 8;

fn lists_hidden_service(fleet: &Fleet, gateway: usize) -> bool {
    let models = fleet.caller(gateway).call("GET", "/v1/models", &[], "");
    models.text.contains("hidden")
}

fn allow_hidden_service(fleet: &Fleet) {
    fleet.put_section("weddings", &weddings_text("chat, foglalas, hidden"), 1);
}

fn version(fleet: &Fleet, gateway: usize) -> u64 {
    let status = fleet.status(gateway);
    status["configuration"]["version"].as_u64().unwrap()
}

#[test]
fn a_change_is_in_force_on_every_gateway() {
    let fleet = Fleet::start("change", FleetSpec::plain(1, 3, 5));
    assert!((0..3).all(|gateway| !lists_hidden_service(&fleet, gateway)));
    allow_hidden_service(&fleet);
    let written = Instant::now();
    wait_until("the change is in force everywhere", || {
        (0..3).all(|gateway| lists_hidden_service(&fleet, gateway))
    });
    println!(
        "in force on 3 gateways after {:?}; target 3 s",
        written.elapsed()
    );
}

fn call_count(fleet: &Fleet, platform: &str) -> u64 {
    let calls = fleet.http.try_get(platform, "/emulator/calls").unwrap();
    calls.text.parse().unwrap()
}

/// Copies the objects with a key prefix to another platform.
fn copy_objects(fleet: &Fleet, to: &str, prefix: &str) {
    let from = fleet.platform.address("listen");
    let path = format!("/v1/objects?prefix={prefix}");
    let list = fleet.http.get_json(&from, &path);
    for object in list["objects"].as_array().unwrap() {
        let path = format!("/v1/objects/{}", object["key"].as_str().unwrap());
        let change: Value = json!({"expected": 0, "value": object["value"]});
        fleet.http.put_json(to, &path, &change);
    }
}

#[test]
fn an_older_document_never_replaces_a_newer_one() {
    let mut fleet = Fleet::start("older", FleetSpec::plain(1, 0, 5));
    let older_platform = fleet.start_platform("older-platform");
    copy_objects(&fleet, &older_platform.address("listen"), "config/document");
    let platform = fleet.platform.address("listen");
    let proxy = TcpProxy::start(&platform);
    fleet.start_gateway("entry-1", &proxy.address);
    fleet.wait_ready(0);
    allow_hidden_service(&fleet);
    wait_until("the change is in force", || lists_hidden_service(&fleet, 0));
    let newest = version(&fleet, 0);

    proxy.redirect_to(&older_platform.address("listen"));
    let before = call_count(&fleet, &older_platform.address("listen"));
    wait_until("the older store has been read", || {
        assert_eq!(version(&fleet, 0), newest);
        assert!(
            lists_hidden_service(&fleet, 0),
            "the older document is in force"
        );
        call_count(&fleet, &older_platform.address("listen")) >= before + STALE_READS
    });

    proxy.redirect_to(&platform);
    fleet.put_section("weddings", &weddings_text("chat, foglalas"), 2);
    wait_until("the next change is in force", || {
        !lists_hidden_service(&fleet, 0)
    });
    assert!(version(&fleet, 0) > newest);
}

#[test]
fn a_stalled_watch_is_restarted() {
    let mut fleet = Fleet::start("silent-watch", FleetSpec::plain(1, 0, 5));
    let proxy = TcpProxy::start(&fleet.platform.address("listen"));
    fleet.start_gateway("entry-1", &proxy.address);
    fleet.wait_ready(0);
    proxy.stall_open_connections();
    allow_hidden_service(&fleet);
    let written = Instant::now();
    wait_until("the change is in force", || lists_hidden_service(&fleet, 0));
    println!(
        "in force after {:?} with a stalled watch",
        written.elapsed()
    );
}

#[test]
fn a_node_started_in_an_outage_is_not_ready_until_it_has_read_the_document() {
    let mut fleet = Fleet::start("started-in-outage", FleetSpec::plain(1, 1, 5));
    fleet.set_faults(&json!({"down": true}));
    let platform = fleet.platform.address("listen");
    fleet.start_gateway("entry-2", &platform);
    let before = call_count(&fleet, &platform);
    wait_until("the new node has called the store", || {
        assert!(!fleet.is_ready(1), "the node is ready without a document");
        call_count(&fleet, &platform) >= before + STALE_READS
    });
    assert!(
        fleet.is_ready(0),
        "the node started before the outage is no longer ready"
    );
    let refused = fleet.caller(1).call("GET", "/services/foglalas/x", &[], "");
    assert_eq!(refused.run_state(), "not_run", "{refused:?}");
    fleet.set_faults(&json!({}));
    fleet.wait_ready(1);
}
