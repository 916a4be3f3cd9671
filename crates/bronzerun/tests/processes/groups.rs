//! Groups that lose members, and a controller that takes over from a killed one.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde_json::{Value, json};

use crate::support::{
    Fleet, FleetSpec, GroupView, HttpClient, RunningStream, wait_for, wait_until,
};

/// Pause between two reads of the fabric domains' records.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Time without progress after which a stream stands still.
const SUSPENSION: Duration = Duration::from_millis(300);
/// Tokens of a stream that is still running when its group is lost.
const LONG_STREAM: usize = 300;
/// Number of streams that gives each group many at once.
const MANY_STREAMS: usize = 24;

/// Starts streams; returns them and a group that runs at least one of them.
fn start_streams(fleet: &mut Fleet, count: usize) -> (Vec<(String, RunningStream)>, GroupView) {
    let caller = fleet.caller(0);
    let streams: Vec<(String, RunningStream)> = (0..count)
        .map(|index| format!("prompt {index}"))
        .map(|prompt| (prompt.clone(), caller.stream("chat", &prompt, LONG_STREAM)))
        .collect();
    for (_, stream) in &streams {
        stream.wait_tokens(3);
    }
    let group = fleet.busy_group();
    (streams, group)
}

fn expect_complete(streams: Vec<(String, RunningStream)>) {
    for (prompt, stream) in streams {
        stream.expect_complete(&prompt, LONG_STREAM);
    }
}

/// Checks that new calls succeed and that none of them goes to a group that has lost a member.
fn expect_no_calls_to(fleet: &mut Fleet, group: &GroupView, streams: &[(String, RunningStream)]) {
    wait_until("the group no longer serves", || {
        !fleet.serving(0).contains(&group.name)
    });
    let head = group.hosts[0].clone();
    wait_until("the group has dropped its streams", || {
        fleet.running(&head) == 0
    });
    let is_running = |(_, stream): &(String, RunningStream)| stream.progress() < LONG_STREAM;
    assert!(
        streams.iter().any(is_running),
        "all streams had ended by themselves"
    );
    let caller = fleet.caller(0);
    let mut checked = 0;
    for index in 0..10 {
        let prompt = format!("meanwhile {index}");
        let stream = caller.stream("chat", &prompt, 5);
        stream.wait_tokens(1);
        let running = fleet.running(&head);
        let is_incomplete =
            fleet.groups().contains(group) && !fleet.serving(0).contains(&group.name);
        if is_incomplete {
            assert_eq!(running, 0, "a call runs at {group:?}");
            checked += 1;
        }
        stream.expect_complete(&prompt, 5);
    }
    println!(
        "{checked} calls were checked while {} was incomplete",
        group.name
    );
}

#[test]
fn streams_of_a_group_that_lost_a_member_resume_on_another_group() {
    let mut fleet = Fleet::start("member-killed", FleetSpec::default());
    let (streams, group) = start_streams(&mut fleet, 4);
    fleet.engine(&group.hosts[1]).kill();
    expect_no_calls_to(&mut fleet, &group, &streams);
    expect_complete(streams);

    let repaired = wait_for("the controller repairs the group", || {
        let groups = fleet.groups();
        let is_repaired = groups.len() == 2 && !groups.contains(&group);
        is_repaired.then_some(groups)
    });
    let hosts: BTreeSet<&String> = repaired.iter().flat_map(|group| &group.hosts).collect();
    assert!(!hosts.contains(&group.hosts[1]), "{repaired:?}");
    fleet.wait_serving(0, 2);
    expect_old_epoch_refused(&mut fleet, &group);
}

/// Checks that an engine answers a call with the group's former epoch with 421.
fn expect_old_epoch_refused(fleet: &mut Fleet, group: &GroupView) {
    let address = fleet.engine(&group.hosts[0]).address("listen");
    let body = r#"{"model": "chat", "messages": []}"#;
    let request = http::Request::post(format!("http://{address}/v1/chat/completions"))
        .header("x-bronzerun-group", &group.name)
        .header("x-bronzerun-epoch", group.epoch);
    let reply = fleet.http.try_send(request.body(body.to_owned()).unwrap());
    assert_eq!(reply.unwrap().status, 421);
}

#[test]
fn streams_of_a_killed_head_resume_on_another_group() {
    let mut fleet = Fleet::start("head-killed", FleetSpec::default());
    let (streams, group) = start_streams(&mut fleet, 4);
    fleet.engine(&group.hosts[0]).kill();
    expect_complete(streams);
    wait_until("the controller repairs the group", || {
        let groups = fleet.groups();
        groups.len() == 2 && !groups.contains(&group)
    });
    fleet.wait_serving(0, 2);
}

#[test]
fn a_member_lost_during_a_store_outage_interrupts_no_stream() {
    let mut fleet = Fleet::start("member-killed-store-down", FleetSpec::default());
    let (streams, group) = start_streams(&mut fleet, 4);
    fleet.set_faults(&json!({"down": true}));
    fleet.engine(&group.hosts[1]).kill();
    wait_until("the group no longer serves", || {
        !fleet.serving(0).contains(&group.name)
    });
    expect_complete(streams);
    let caller = fleet.caller(0);
    caller
        .stream("chat", "during", 9)
        .expect_complete("during", 9);
    fleet.set_faults(&json!({}));
    wait_until("the controller repairs the group", || {
        let groups = fleet.groups();
        groups.len() == 2 && !groups.contains(&group)
    });
    fleet.wait_serving(0, 2);
}

#[test]
fn all_streams_of_a_full_group_resume_on_another_group() {
    let mut fleet = Fleet::start("many-streams", FleetSpec::default());
    let (streams, group) = start_streams(&mut fleet, MANY_STREAMS);
    let lost = fleet.running(&group.hosts[0]);
    println!("{lost} of {MANY_STREAMS} streams lose their group");
    fleet.engine(&group.hosts[0]).kill();
    expect_complete(streams);
}

#[test]
fn a_paused_member_suspends_its_group_until_it_resumes() {
    let mut fleet = Fleet::start("member-paused", FleetSpec::default());
    let (streams, group) = start_streams(&mut fleet, 4);
    fleet.engine(&group.hosts[1]).pause();
    expect_no_calls_to(&mut fleet, &group, &streams);
    expect_complete(streams);
    fleet.engine(&group.hosts[1]).resume();
    fleet.wait_serving(0, 2);
    let caller = fleet.caller(0);
    caller
        .stream("chat", "after", 9)
        .expect_complete("after", 9);
}

#[test]
fn a_paused_head_continues_no_stream_after_it_resumes() {
    let mut fleet = Fleet::start("head-paused", FleetSpec::default());
    let (streams, group) = start_streams(&mut fleet, 4);
    fleet.engine(&group.hosts[0]).pause();
    expect_complete(streams);
    fleet.engine(&group.hosts[0]).resume();
    wait_until("the head drops its streams", || {
        fleet.running(&group.hosts[0]) == 0
    });
    fleet.wait_serving(0, 2);
}

#[test]
fn the_loss_of_the_only_group_ends_streams_with_an_error() {
    let spec = FleetSpec {
        fabrics: 1,
        engines: 2,
        groups: 1,
        ..FleetSpec::default()
    };
    for rank in [0, 1] {
        let mut fleet = Fleet::start(&format!("only-group-{rank}"), spec);
        let (streams, group) = start_streams(&mut fleet, 2);
        fleet.engine(&group.hosts[rank]).kill();
        for (_, stream) in streams {
            let outcome = stream.wait_end();
            assert_eq!(outcome.status, 200, "{outcome:?}");
            assert!(outcome.cut && !outcome.done, "{outcome:?}");
            assert!(outcome.error.is_some(), "{outcome:?}");
            assert!(outcome.tokens < LONG_STREAM, "{outcome:?}");
        }
    }
}

#[test]
fn a_pause_of_a_member_of_the_only_group_cuts_no_stream() {
    let spec = FleetSpec {
        fabrics: 1,
        engines: 2,
        groups: 1,
        ..FleetSpec::default()
    };
    for rank in [0, 1] {
        let mut fleet = Fleet::start(&format!("only-group-paused-{rank}"), spec);
        let (streams, group) = start_streams(&mut fleet, 2);
        fleet.engine(&group.hosts[rank]).pause();
        wait_until("the group no longer serves", || fleet.serving(0).is_empty());
        wait_until("the streams stand still", || {
            let progress = || -> Vec<usize> {
                let streams = streams.iter();
                streams.map(|(_, stream)| stream.progress()).collect()
            };
            let before = progress();
            thread::sleep(SUSPENSION);
            before == progress()
        });
        let is_incomplete = |(_, stream): &(String, RunningStream)| stream.progress() < LONG_STREAM;
        assert!(
            streams.iter().all(is_incomplete),
            "an incomplete group served"
        );
        fleet.engine(&group.hosts[rank]).resume();
        expect_complete(streams);
    }
}

#[test]
fn a_silent_connection_of_the_only_group_cuts_no_stream() {
    let spec = FleetSpec {
        fabrics: 1,
        engines: 2,
        groups: 1,
        is_proxied: true,
        ..FleetSpec::default()
    };
    let mut fleet = Fleet::start("only-group-silent", spec);
    let (streams, group) = start_streams(&mut fleet, 1);
    let mut hosts = fleet.engines.iter().map(|engine| &engine.name);
    let head = hosts.position(|host| *host == group.hosts[0]).unwrap();
    fleet.proxies[head].pause_open_connections(|| {
        wait_until("the gateway notices the silence", || {
            let logs = fleet.gateways[0].process.logs();
            logs.contains("stream is silent") || streams[0].1.has_ended()
        });
    });
    expect_complete(streams);
}

/// Reads the fabric domains' records again and again and checks that no host is in two groups.
struct RecordMonitor {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<usize>,
}

impl RecordMonitor {
    fn start(platform: &str) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let should_stop = stop.clone();
        let platform = platform.to_owned();
        let thread = thread::spawn(move || {
            let http = HttpClient::new();
            let mut samples = 0;
            while !should_stop.load(Ordering::SeqCst) {
                let list = http.get_json(&platform, "/v1/objects?prefix=fabrics/");
                expect_hosts_once(&list);
                samples += 1;
                thread::sleep(SAMPLE_INTERVAL);
            }
            samples
        });
        Self { stop, thread }
    }

    fn finish(self) {
        self.stop.store(true, Ordering::SeqCst);
        let samples = self.thread.join().unwrap();
        println!("no host was in two groups in {samples} samples");
    }
}

fn expect_hosts_once(list: &Value) {
    let mut seen = BTreeSet::new();
    for object in list["objects"].as_array().unwrap() {
        let record: Value = serde_json::from_str(object["value"].as_str().unwrap()).unwrap();
        let groups = record["groups"].as_array().unwrap().iter();
        let members = groups.flat_map(|group| group["members"].as_array().unwrap());
        for member in members {
            let host = member["host"].as_str().unwrap().to_owned();
            assert!(seen.insert(host), "a host is in two groups: {record}");
        }
    }
}

/// Holders of the fabric domains' leases; an empty string for a free lease.
pub fn lease_holders(fleet: &Fleet) -> Vec<String> {
    let records = fleet.fabrics();
    let holders = records
        .iter()
        .map(|record| record["lease"]["holder"].as_str());
    holders
        .map(|holder| holder.unwrap_or("").to_owned())
        .collect()
}

#[test]
fn another_controller_takes_over_from_a_killed_one() {
    let spec = FleetSpec {
        fabrics: 1,
        engines: 5,
        controllers: 2,
        ..FleetSpec::default()
    };
    let mut fleet = Fleet::start("controller-killed", spec);
    let monitor = RecordMonitor::start(&fleet.platform.address("listen"));
    let holder = wait_for("a controller holds the lease", || {
        lease_holders(&fleet)
            .into_iter()
            .find(|name| !name.is_empty())
    });
    let controllers = fleet.controllers.iter_mut();
    let owner = controllers
        .into_iter()
        .find(|node| node.name == holder)
        .unwrap();
    owner.process.kill();
    let (streams, group) = start_streams(&mut fleet, 3);
    fleet.engine(&group.hosts[1]).kill();
    expect_complete(streams);
    wait_until("the other controller repairs the group", || {
        let groups = fleet.groups();
        groups.len() == 2 && !groups.contains(&group)
    });
    assert_ne!(lease_holders(&fleet), [holder]);
    fleet.wait_serving(0, 2);
    monitor.finish();
}
