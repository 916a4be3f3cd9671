//! Threads, file descriptors and logs of the daemon processes.

use std::fs;

use crate::support::{Fleet, FleetSpec, Process, wait_until};

fn expect_one_thread(process: &Process) {
    let folder = format!("/proc/{}", process.id());
    let threads = fs::read_dir(format!("{folder}/task")).unwrap().count();
    assert_eq!(threads, 1);
    for entry in fs::read_dir(format!("{folder}/fd")).unwrap() {
        // A descriptor may be closed while the directory is read.
        let link = fs::read_link(entry.unwrap().path()).unwrap_or_default();
        let link = link.to_string_lossy().into_owned();
        assert!(!link.contains("io_uring"), "{link}");
    }
}

#[test]
fn the_daemons_run_one_thread_without_io_uring() {
    let fleet = Fleet::start("one-thread", FleetSpec::default());
    let caller = fleet.caller(0);
    let stream = caller.stream("chat", "hello", 50);
    stream.wait_tokens(5);
    expect_one_thread(&fleet.gateways[0].process);
    expect_one_thread(&fleet.controllers[0].process);
    stream.expect_complete("hello", 50);
}

#[test]
fn no_log_contains_an_api_key() {
    let fleet = Fleet::start("logs", FleetSpec::default());
    let caller = fleet.caller(0);
    caller
        .stream("chat", "hello", 5)
        .expect_complete("hello", 5);
    let digest = document::KeyDigest::of_key(crate::support::API_KEY).to_hex();
    for node in fleet.gateways.iter().chain(&fleet.controllers) {
        let printed = node.process.output() + &node.process.logs();
        assert!(!printed.contains(crate::support::API_KEY), "{}", node.name);
        assert!(!printed.contains(&digest), "{}", node.name);
    }
}

#[test]
fn a_refused_call_is_logged_with_its_request_id() {
    let fleet = Fleet::start("logged-refusal", FleetSpec::default());
    let reply = fleet.caller(0).chat("nowhere", "hello", 1);
    let request_id = reply.headers["x-request-id"].to_str().unwrap();
    let gateway = &fleet.gateways[0].process;
    wait_until("the refusal is logged", || {
        gateway.logs().contains(request_id)
    });
}
