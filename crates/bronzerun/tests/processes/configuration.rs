//! Configuration that comes into force and never falls.

use std::time::Instant;

use serde_json::{Value, json};

use crate::support::{Fleet, FleetShape, Relay, wait_until, weddings_text};

/// Calls to a store with an older document during which nothing may fall.
const OLD_READS: u64 = 8;

fn lists_hidden(fleet: &Fleet, gateway: usize) -> bool {
    let models = fleet.caller(gateway).call("GET", "/v1/models", &[], "");
    models.text.contains("hidden")
}

fn open_hidden(fleet: &Fleet) {
    fleet.put_section("weddings", &weddings_text("chat, foglalas, hidden"), 1);
}

fn version(fleet: &Fleet, gateway: usize) -> u64 {
    let status = fleet.status(gateway);
    status["configuration"]["version"].as_u64().unwrap()
}

#[test]
fn a_change_is_in_force_on_every_gateway() {
    let fleet = Fleet::start("change", FleetShape::plain(1, 3, 5));
    assert!((0..3).all(|gateway| !lists_hidden(&fleet, gateway)));
    open_hidden(&fleet);
    let written = Instant::now();
    wait_until("the change is in force everywhere", || {
        (0..3).all(|gateway| lists_hidden(&fleet, gateway))
    });
    println!(
        "in force on 3 gateways after {:?}; aim 3 s",
        written.elapsed()
    );
}

fn calls_of(fleet: &Fleet, platform: &str) -> u64 {
    let calls = fleet.web.try_get(platform, "/emulator/calls").unwrap();
    calls.text.parse().unwrap()
}

/// Copies the objects that a key prefix names to another platform.
fn copy_objects(fleet: &Fleet, to: &str, prefix: &str) {
    let from = fleet.platform.address("listen");
    let path = format!("/v1/objects?prefix={prefix}");
    let list = fleet.web.get_json(&from, &path);
    for object in list["objects"].as_array().unwrap() {
        let path = format!("/v1/objects/{}", object["key"].as_str().unwrap());
        let change: Value = json!({"expected": 0, "value": object["value"]});
        fleet.web.put_json(to, &path, &change);
    }
}

#[test]
fn an_older_document_never_comes_back_into_force() {
    let mut fleet = Fleet::start("older", FleetShape::plain(1, 0, 5));
    let older = fleet.start_platform("older-platform");
    copy_objects(&fleet, &older.address("listen"), "config/document");
    let platform = fleet.platform.address("listen");
    let relay = Relay::start(&platform);
    fleet.start_gateway("entry-1", &relay.address);
    fleet.wait_ready(0);
    open_hidden(&fleet);
    wait_until("the change is in force", || lists_hidden(&fleet, 0));
    let newest = version(&fleet, 0);

    relay.lead_to(&older.address("listen"));
    let before = calls_of(&fleet, &older.address("listen"));
    wait_until("the older store is read", || {
        assert_eq!(version(&fleet, 0), newest);
        assert!(lists_hidden(&fleet, 0), "the older document is in force");
        calls_of(&fleet, &older.address("listen")) >= before + OLD_READS
    });

    relay.lead_to(&platform);
    fleet.put_section("weddings", &weddings_text("chat, foglalas"), 2);
    wait_until("the next change is in force", || !lists_hidden(&fleet, 0));
    assert!(version(&fleet, 0) > newest);
}

#[test]
fn a_watch_that_went_silent_is_made_anew() {
    let mut fleet = Fleet::start("silent-watch", FleetShape::plain(1, 0, 5));
    let relay = Relay::start(&fleet.platform.address("listen"));
    fleet.start_gateway("entry-1", &relay.address);
    fleet.wait_ready(0);
    relay.silence_open();
    open_hidden(&fleet);
    let written = Instant::now();
    wait_until("the change is in force", || lists_hidden(&fleet, 0));
    println!("in force after {:?} past a silent watch", written.elapsed());
}

#[test]
fn a_node_started_in_an_outage_is_not_ready_until_it_knows_the_document() {
    let mut fleet = Fleet::start("started-in-outage", FleetShape::plain(1, 1, 5));
    fleet.set_faults(&json!({"down": true}));
    let platform = fleet.platform.address("listen");
    fleet.start_gateway("entry-2", &platform);
    let before = calls_of(&fleet, &platform);
    wait_until("it has asked the store", || {
        assert!(!fleet.is_ready(1), "ready without a document");
        calls_of(&fleet, &platform) >= before + OLD_READS
    });
    assert!(
        fleet.is_ready(0),
        "the node from before the outage serves on"
    );
    let refused = fleet.caller(1).call("GET", "/services/foglalas/x", &[], "");
    assert_eq!(refused.run(), "not_run", "{refused:?}");
    fleet.set_faults(&json!({}));
    fleet.wait_ready(1);
}
