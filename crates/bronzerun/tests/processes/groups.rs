//! Groups that lose members, and controllers that lose one another.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde_json::Value;

use crate::support::{Fleet, FleetShape, GroupView, RunningStream, Web, wait_for, wait_until};

/// Pause between two samples of the records.
const SAMPLE_PAUSE: Duration = Duration::from_millis(10);
/// Tokens of a stream that outlives the loss of its group.
const LONG_STREAM: usize = 300;
/// Streams of which one group runs many.
const MANY_STREAMS: usize = 24;

/// Starts streams and gives back a group that runs one of them.
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

fn expect_whole(streams: Vec<(String, RunningStream)>) {
    for (prompt, stream) in streams {
        stream.expect_whole(&prompt, LONG_STREAM);
    }
}

/// Calls go on, and none of them goes to a group that has lost a member.
fn expect_no_calls_at(fleet: &mut Fleet, group: &GroupView, streams: &[(String, RunningStream)]) {
    wait_until("the group no longer serves", || {
        !fleet.serving(0).contains(&group.name)
    });
    let leader = group.hosts[0].clone();
    wait_until("the group's streams are broken off", || {
        fleet.running(&leader) == 0
    });
    let goes_on = |(_, stream): &(String, RunningStream)| stream.progress() < LONG_STREAM;
    assert!(streams.iter().any(goes_on), "they ended by themselves");
    let caller = fleet.caller(0);
    let mut checked = 0;
    for index in 0..10 {
        let prompt = format!("meanwhile {index}");
        let stream = caller.stream("chat", &prompt, 5);
        stream.wait_tokens(1);
        let running = fleet.running(&leader);
        let stands = fleet.groups().contains(group) && !fleet.serving(0).contains(&group.name);
        if stands {
            assert_eq!(running, 0, "a call runs at {group:?}");
            checked += 1;
        }
        stream.expect_whole(&prompt, 5);
    }
    println!(
        "{checked} calls were seen while {} was incomplete",
        group.name
    );
}

#[test]
fn streams_of_a_group_that_lost_a_member_go_on_elsewhere() {
    let mut fleet = Fleet::start("member-killed", FleetShape::default());
    let (streams, group) = start_streams(&mut fleet, 4);
    fleet.engine(&group.hosts[1]).kill();
    expect_no_calls_at(&mut fleet, &group, &streams);
    expect_whole(streams);

    let repaired = wait_for("the controller repairs the group", || {
        let groups = fleet.groups();
        let whole = groups.len() == 2 && !groups.contains(&group);
        whole.then_some(groups)
    });
    let hosts: BTreeSet<&String> = repaired.iter().flat_map(|group| &group.hosts).collect();
    assert!(!hosts.contains(&group.hosts[1]), "{repaired:?}");
    fleet.wait_serving(0, 2);
    expect_old_epoch_refused(&mut fleet, &group);
}

/// An engine refuses calls that are meant for a group of the past.
fn expect_old_epoch_refused(fleet: &mut Fleet, group: &GroupView) {
    let address = fleet.engine(&group.hosts[0]).address("listen");
    let body = r#"{"model": "chat", "messages": []}"#;
    let request = http::Request::post(format!("http://{address}/v1/chat/completions"))
        .header("x-bronzerun-group", &group.name)
        .header("x-bronzerun-epoch", group.epoch);
    let reply = fleet.web.try_send(request.body(body.to_owned()).unwrap());
    assert_eq!(reply.unwrap().status, 421);
}

#[test]
fn streams_of_a_killed_leader_go_on_elsewhere() {
    let mut fleet = Fleet::start("leader-killed", FleetShape::default());
    let (streams, group) = start_streams(&mut fleet, 4);
    fleet.engine(&group.hosts[0]).kill();
    expect_whole(streams);
    wait_until("the controller repairs the group", || {
        let groups = fleet.groups();
        groups.len() == 2 && !groups.contains(&group)
    });
    fleet.wait_serving(0, 2);
}

#[test]
fn all_streams_of_a_full_group_go_on_elsewhere() {
    let mut fleet = Fleet::start("many-streams", FleetShape::default());
    let (streams, group) = start_streams(&mut fleet, MANY_STREAMS);
    let lost = fleet.running(&group.hosts[0]);
    println!("{lost} of {MANY_STREAMS} streams lose their group");
    fleet.engine(&group.hosts[0]).kill();
    expect_whole(streams);
}

#[test]
fn a_paused_member_stops_its_group_until_it_is_back() {
    let mut fleet = Fleet::start("member-paused", FleetShape::default());
    let (streams, group) = start_streams(&mut fleet, 4);
    fleet.engine(&group.hosts[1]).pause();
    expect_no_calls_at(&mut fleet, &group, &streams);
    expect_whole(streams);
    fleet.engine(&group.hosts[1]).resume();
    fleet.wait_serving(0, 2);
    let caller = fleet.caller(0);
    caller.stream("chat", "after", 9).expect_whole("after", 9);
}

#[test]
fn a_paused_leader_goes_on_with_no_call() {
    let mut fleet = Fleet::start("leader-paused", FleetShape::default());
    let (streams, group) = start_streams(&mut fleet, 4);
    fleet.engine(&group.hosts[0]).pause();
    expect_whole(streams);
    fleet.engine(&group.hosts[0]).resume();
    wait_until("the leader drops its streams", || {
        fleet.running(&group.hosts[0]) == 0
    });
    fleet.wait_serving(0, 2);
}

#[test]
fn the_end_of_the_only_group_is_no_end_of_an_answer() {
    let shape = FleetShape {
        fabrics: 1,
        engines: 2,
        groups: 1,
        ..FleetShape::default()
    };
    for rank in [0, 1] {
        let mut fleet = Fleet::start(&format!("only-group-{rank}"), shape);
        let (streams, group) = start_streams(&mut fleet, 2);
        fleet.engine(&group.hosts[rank]).kill();
        for (_, stream) in streams {
            let end = stream.end();
            assert_eq!(end.status, 200, "{end:?}");
            assert!(end.cut && !end.done, "{end:?}");
            assert!(end.error.is_some(), "{end:?}");
            assert!(end.tokens < LONG_STREAM, "{end:?}");
        }
    }
}

/// Looks at the records of the fabric domains over and over.
struct RecordWatch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<usize>,
}

impl RecordWatch {
    fn start(platform: &str) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let seen = stop.clone();
        let platform = platform.to_owned();
        let thread = thread::spawn(move || {
            let web = Web::new();
            let mut samples = 0;
            while !seen.load(Ordering::SeqCst) {
                let list = web.get_json(&platform, "/v1/objects?prefix=fabrics/");
                expect_hosts_once(&list);
                samples += 1;
                thread::sleep(SAMPLE_PAUSE);
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

/// Holders of the fabric domains' leases; empty while one is free.
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
    let shape = FleetShape {
        fabrics: 1,
        engines: 5,
        controllers: 2,
        ..FleetShape::default()
    };
    let mut fleet = Fleet::start("controller-killed", shape);
    let watch = RecordWatch::start(&fleet.platform.address("listen"));
    let holder = wait_for("a controller holds the lease", || {
        lease_holders(&fleet)
            .into_iter()
            .find(|name| !name.is_empty())
    });
    let others = fleet.controllers.iter_mut();
    let owner = others.into_iter().find(|node| node.name == holder).unwrap();
    owner.process.kill();
    let (streams, group) = start_streams(&mut fleet, 3);
    fleet.engine(&group.hosts[1]).kill();
    expect_whole(streams);
    wait_until("the other controller repairs the group", || {
        let groups = fleet.groups();
        groups.len() == 2 && !groups.contains(&group)
    });
    assert_ne!(lease_holders(&fleet), [holder]);
    fleet.wait_serving(0, 2);
    watch.finish();
}
