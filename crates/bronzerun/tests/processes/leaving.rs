//! Endpoints that announce their leaving, including while the platform's list is
//! outdated or unavailable.

use std::thread;

use serde_json::json;

use crate::support::{Fleet, FleetSpec, wait_until};

/// Tokens of a stream that is still running when its group starts to leave.
const LONG_STREAM: usize = 250;
/// Calls made after the announcement, none of which may go to the leaving endpoint.
const LATER_CALLS: usize = 20;

#[test]
fn a_server_listed_as_leaving_gets_no_new_calls_and_finishes_its_running_ones() {
    let fleet = Fleet::start("server-leaving", FleetSpec::plain(2, 1, 500));
    let caller = fleet.caller(0);
    let running_calls: Vec<_> = (0..8)
        .map(|index| {
            let caller = caller.clone();
            let path = format!("/services/foglalas/early/{index}");
            thread::spawn(move || caller.call("GET", &path, &[], ""))
        })
        .collect();
    wait_until("both servers are running calls", || {
        let hosts = fleet.servers.iter();
        let mut counts = hosts.map(|server| {
            let address = server.process.address("listen");
            fleet.http.get_json(&address, "/emulator/runs")
        });
        counts.all(|runs| !runs.as_array().unwrap().is_empty())
    });
    fleet.mark_leaving("server-1");
    wait_until("new calls go to the other server", || {
        (0..3).all(|_| {
            caller.call("GET", "/services/foglalas/x", &[], "").json()["host"] != "server-1"
        })
    });
    for call in running_calls {
        assert_eq!(call.join().unwrap().status, 200);
    }
    let calls: Vec<_> = (0..LATER_CALLS)
        .map(|_| {
            let caller = caller.clone();
            thread::spawn(move || caller.call("GET", "/services/foglalas/late", &[], ""))
        })
        .collect();
    for call in calls {
        assert_eq!(call.join().unwrap().json()["host"], "server-2");
    }
}

/// Checks that an engine whose status report says that it is leaving gets no new calls while
/// the platform, with faults, does not list it as leaving.
fn expect_no_calls_to_leaving_engine(name: &str, faults: &serde_json::Value) {
    let mut fleet = Fleet::start(name, FleetSpec::default());
    let caller = fleet.caller(0);
    let stream = caller.stream("chat", "long", LONG_STREAM);
    stream.wait_tokens(1);
    let group = fleet.busy_group();
    fleet.set_faults(faults);
    let leaving_engine = fleet.engine(&group.hosts[1]).address("listen");
    fleet
        .http
        .put_json(&leaving_engine, "/emulator/leaving", &json!(true));
    wait_until("the gateway sends the group no new calls", || {
        !fleet.serving(0).contains(&group.name)
    });
    let running = fleet.running(&group.hosts[0]);
    assert_eq!(running, 1, "the group's running stream was interrupted");
    for index in 0..LATER_CALLS {
        let prompt = format!("new {index}");
        let call = caller.stream("chat", &prompt, 2);
        call.wait_tokens(1);
        let running = fleet.running(&group.hosts[0]);
        assert!(running <= 1, "the leaving group runs a new call");
        call.expect_complete(&prompt, 2);
    }
    stream.expect_complete("long", LONG_STREAM);
}

#[test]
fn a_leaving_engine_gets_no_new_calls_while_the_host_list_is_frozen() {
    expect_no_calls_to_leaving_engine("engine-leaving-frozen", &json!({"freeze_hosts": true}));
}

#[test]
fn a_leaving_engine_gets_no_new_calls_while_the_store_is_down() {
    expect_no_calls_to_leaving_engine("engine-leaving-store-down", &json!({"down": true}));
}
