//! Endpoints that leave while the platform's list lags or is gone.

use std::thread;

use serde_json::json;

use crate::support::{Fleet, FleetShape, wait_until};

/// Tokens of a stream that is under way when its group starts to leave.
const LONG_STREAM: usize = 250;
/// Calls in a row that must all go elsewhere.
const CALLS: usize = 20;

#[test]
fn a_listed_leaver_gets_no_new_calls_and_finishes_its_own() {
    let fleet = Fleet::start("server-leaving", FleetShape::plain(2, 1, 500));
    let caller = fleet.caller(0);
    let under_way: Vec<_> = (0..8)
        .map(|index| {
            let caller = caller.clone();
            let path = format!("/services/foglalas/early/{index}");
            thread::spawn(move || caller.call("GET", &path, &[], ""))
        })
        .collect();
    wait_until("both servers run calls", || {
        let hosts = fleet.servers.iter();
        let mut counts = hosts.map(|server| {
            let address = server.process.address("listen");
            fleet.web.get_json(&address, "/emulator/runs")
        });
        counts.all(|runs| !runs.as_array().unwrap().is_empty())
    });
    fleet.list_leaving("server-1");
    wait_until("new calls go elsewhere", || {
        (0..3).all(|_| {
            caller.call("GET", "/services/foglalas/x", &[], "").json()["host"] != "server-1"
        })
    });
    for call in under_way {
        assert_eq!(call.join().unwrap().status, 200);
    }
    let calls: Vec<_> = (0..CALLS)
        .map(|_| {
            let caller = caller.clone();
            thread::spawn(move || caller.call("GET", "/services/foglalas/late", &[], ""))
        })
        .collect();
    for call in calls {
        assert_eq!(call.join().unwrap().json()["host"], "server-2");
    }
}

/// An engine that says itself that it leaves, whatever the platform says.
fn leave_by_itself(name: &str, faults: &serde_json::Value) {
    let mut fleet = Fleet::start(name, FleetShape::default());
    let caller = fleet.caller(0);
    let stream = caller.stream("chat", "long", LONG_STREAM);
    stream.wait_tokens(1);
    let group = fleet.busy_group();
    fleet.set_faults(faults);
    let leaver = fleet.engine(&group.hosts[1]).address("listen");
    fleet
        .web
        .put_json(&leaver, "/emulator/leaving", &json!(true));
    wait_until("the gateway sends the group nothing new", || {
        !fleet.serving(0).contains(&group.name)
    });
    let before = fleet.running(&group.hosts[0]);
    assert_eq!(before, 1, "its own stream goes on");
    for index in 0..CALLS {
        let prompt = format!("new {index}");
        let call = caller.stream("chat", &prompt, 2);
        call.wait_tokens(1);
        let running = fleet.running(&group.hosts[0]);
        assert!(running <= 1, "a new call runs at the group that leaves");
        call.expect_whole(&prompt, 2);
    }
    stream.expect_whole("long", LONG_STREAM);
}

#[test]
fn a_leaver_gets_no_new_calls_while_the_list_is_frozen() {
    leave_by_itself("engine-leaving-frozen", &json!({"freeze_hosts": true}));
}

#[test]
fn a_leaver_gets_no_new_calls_while_the_store_is_down() {
    leave_by_itself("engine-leaving-store-down", &json!({"down": true}));
}
