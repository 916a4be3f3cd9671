//! Output of the queries for a small fleet.

use std::net::SocketAddr;

use crate::common::TestSystem;
use base::prelude::*;
use groups::{
    FabricRecord, FabricWire, GroupPhase, GroupRecord, MemberRecord, OwnerLease, StandbyRecord,
};
use interface::keys::{fabric_key, node_key};
use interface::status::{
    ConfigStatusWire, FaultWire, GroupStatusWire, HistogramWire, LimitStatusWire, MissingWire,
    RejectedWire, StatusWire,
};
use interface::{HostEntry, NodeEntry, NodeRole, Presence};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn member(host: &str) -> MemberRecord {
    MemberRecord {
        host: HostName::new(host).unwrap(),
        address: address(7_000),
        incarnation: HostIncarnation(3),
    }
}

fn group(name: &str, members: &[&str]) -> GroupRecord {
    GroupRecord {
        group: GroupName::new(name).unwrap(),
        deployment: DeploymentName::new("quotes").unwrap(),
        model: ModelName::new("fogas-7b").unwrap(),
        epoch: GroupEpoch(5),
        phase: GroupPhase::Active,
        members: members.iter().map(|host| member(host)).collect(),
    }
}

fn write_fabric(system: &TestSystem) {
    let fabric = FabricName::new("kozep-a-1").unwrap();
    let mut record = FabricRecord::new(fabric.clone());
    record.lease = Some(OwnerLease {
        holder: NodeName::new("entry-1").unwrap(),
        process: 9,
        renewals: 41,
    });
    record.token = FencingToken(6);
    record.groups = vec![group("g1", &["h1", "h2"]), group("g2", &["h3", "h4"])];
    record.standbys = vec![StandbyRecord {
        member: member("h5"),
        deployment: DeploymentName::new("quotes").unwrap(),
    }];
    let wire = FabricWire::from(record);
    let value = serde_json::to_string(&wire).unwrap();
    system.write(&fabric_key(&fabric), Arc::from(value));
}

fn set_hosts(system: &TestSystem) {
    let entry = |host: &str, service: Option<&str>, presence| HostEntry {
        host: HostName::new(host).unwrap(),
        address: address(7_000),
        domain: DomainName::new("kozep-a").unwrap(),
        fabric: service
            .is_none()
            .then(|| FabricName::new("kozep-a-1").unwrap()),
        service: service.map(|service| ServiceName::new(service).unwrap()),
        accelerators: if service.is_none() { 8 } else { 0 },
        presence,
    };
    let engines = ["h1", "h2", "h3", "h4", "h5", "h6"];
    let mut hosts: Vec<_> = engines
        .iter()
        .map(|host| entry(host, None, Presence::Live))
        .collect();
    hosts.push(entry("h7", None, Presence::Leaving));
    hosts.push(entry("s1", Some("foglalas"), Presence::Live));
    system.hosts.0.replace(Some(hosts));
}

fn status(node: &str, version: u64) -> StatusWire {
    let group_status = |name: &str, serving| GroupStatusWire {
        group: GroupName::new(name).unwrap(),
        epoch: GroupEpoch(5),
        serving,
        missing: Vec::new(),
    };
    let mut broken = group_status("g2", false);
    broken.missing.push(MissingWire {
        host: HostName::new("h4").unwrap(),
        reason: Arc::from("no answer for 2 s"),
    });
    StatusWire {
        node: NodeName::new(node).unwrap(),
        role: NodeRole::Gateway.into(),
        ready: true,
        configuration: ConfigStatusWire {
            version: ObjectVersion(version),
            floor: ObjectVersion(7),
            rejected: Vec::new(),
        },
        groups: vec![group_status("g1", true), broken],
        limits: vec![LimitStatusWire {
            workspace: WorkspaceName::new("debrecen").unwrap(),
            service: ServiceName::new("fogas-llm").unwrap(),
            running: 2,
            waiting: 1,
        }],
        histograms: vec![HistogramWire {
            workspace: WorkspaceName::new("debrecen").unwrap(),
            class: Arc::from("interactive"),
            measure: Arc::from("first token"),
            count: 10,
            p50_us: 20_000 * version,
            p95_us: 41_200,
            p99_us: 62_050,
            max_us: 90_000,
        }],
    }
}

fn rejected() -> RejectedWire {
    RejectedWire {
        section: SectionName::new("front").unwrap(),
        revision: SectionRevision(3),
        in_force: Some(SectionRevision(2)),
        faults: vec![FaultWire {
            line: 4,
            column: 2,
            message: "'share' is 0".to_owned(),
        }],
    }
}

/// Registers nodes entry-1, entry-2, … with these statuses; a node without any does not answer.
fn register_nodes(system: &TestSystem, nodes: Vec<Vec<StatusWire>>) {
    for (index, statuses) in nodes.into_iter().enumerate() {
        let entry = NodeEntry {
            node: NodeName::new(&format!("entry-{}", index + 1)).unwrap(),
            role: NodeRole::Gateway,
            domain: DomainName::new("kozep-a").unwrap(),
            admin: address(9_001 + u16::try_from(index).unwrap()),
        };
        system.write(&node_key(&entry.node, entry.role), entry.encode());
        if !statuses.is_empty() {
            system.nodes.0.borrow_mut().insert(entry.admin, statuses);
        }
    }
}

fn fleet() -> TestSystem {
    let system = TestSystem::default();
    write_fabric(&system);
    set_hosts(&system);
    let nodes = vec![
        vec![status("entry-1", 7)],
        vec![status("entry-2", 6)],
        vec![],
    ];
    register_nodes(&system, nodes);
    system.describe(&["endpoint", "drain", "h2"]);
    system
}

#[test]
fn queries_print_tables() {
    let system = fleet();
    let lines: &[&[&str]] = &[
        &["groups", "list"],
        &["groups", "explain", "g2"],
        &["groups", "explain", "g9"],
        &["hosts", "list"],
        &["hosts", "explain", "h2"],
        &["hosts", "explain", "h5"],
        &["hosts", "explain", "h7"],
        &["hosts", "explain", "s1"],
        &["hosts", "explain", "h9"],
        &["leases", "list"],
        &["limits", "list"],
        &["stranded", "list"],
        &["nodes", "list"],
        &["histograms"],
        &["histograms", "--node", "entry-1"],
        &["histograms", "--workspace", "other"],
    ];
    let mut report = String::new();
    for line in lines {
        report.push_str(&format!("$ {}\n{}", line.join(" "), system.describe(line)));
    }
    insta::assert_snapshot!(report);
}

#[test]
fn a_drained_host_is_not_stranded() {
    let system = fleet();
    let lists = |host: &str| {
        let report = system.describe(&["stranded", "list"]);
        report.lines().any(|line| line.starts_with(host))
    };
    assert!(lists("h6"));
    system.describe(&["endpoint", "drain", "h6"]);
    assert!(!lists("h6"));
    assert!(lists("h5"));
}

#[test]
fn queries_print_json() {
    let system = fleet();
    for line in [
        &["groups", "list"][..],
        &["stranded", "list"],
        &["hosts", "explain", "h2"],
    ] {
        let outcome = system.run(line).unwrap();
        insta::assert_json_snapshot!(line.join("_"), outcome.report.to_json());
    }
}

#[test]
fn an_outage_fails_every_query_with_the_same_status() {
    let system = fleet();
    system.store.set_down(true);
    system.hosts.0.replace(None);
    let lines: &[&[&str]] = &[
        &["section", "list"],
        &["section", "show", "a"],
        &["watch", "--latest"],
        &["groups", "list"],
        &["hosts", "list"],
        &["leases", "list"],
        &["limits", "list"],
        &["stranded", "list"],
        &["nodes", "list"],
        &["histograms"],
    ];
    for line in lines {
        let report = system.describe(line);
        assert!(report.ends_with("[Unavailable]\n"), "{line:?}: {report}");
    }
}

#[test]
fn a_watch_ends_when_the_version_is_in_force_everywhere() {
    let lagging = vec![
        status("entry-1", 5),
        status("entry-1", 6),
        status("entry-1", 7),
    ];
    let mut holding = status("entry-2", 7);
    holding.configuration.rejected.push(rejected());
    let impostor = status("entry-9", 9);
    let cases = [
        ("no nodes", vec![], &["watch", "7"][..]),
        (
            "all there",
            vec![vec![status("entry-1", 7)], vec![status("entry-2", 8)]],
            &["watch", "7"],
        ),
        ("one lags for a while", vec![lagging], &["watch", "7"]),
        (
            "one lags for good",
            vec![vec![status("entry-1", 7)], vec![status("entry-2", 6)]],
            &["watch", "7"],
        ),
        (
            "one is silent",
            vec![vec![status("entry-1", 7)], vec![]],
            &["watch", "7"],
        ),
        (
            "another node at its address",
            vec![vec![impostor]],
            &["watch", "7"],
        ),
        (
            "a section is held back",
            vec![vec![status("entry-1", 7)], vec![holding.clone()]],
            &["watch", "7"],
        ),
        (
            "the section of interest is held back",
            vec![vec![status("entry-1", 7)], vec![holding]],
            &["watch", "7", "--section", "front"],
        ),
    ];
    let mut report = String::new();
    for (name, nodes, line) in cases {
        let system = TestSystem::default();
        register_nodes(&system, nodes);
        report.push_str(&format!("{name}\n{}", system.describe(line)));
    }
    insta::assert_snapshot!(report);
}
