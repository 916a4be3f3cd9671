//! Hosts, group and document for the gateways under test.

use base::prelude::*;
use document::{Document, KeyDigest, Section};
use groups::{
    FabricRecord, GroupPhase, GroupRecord, HostAssignment, HostReport, LoadReport, MemberPhase,
    MemberRecord,
};
use interface::{HostEntry, Presence};

/// Engines of the only group.
pub const ENGINES: [&str; 2] = ["engine-1", "engine-2"];
/// Hosts of the plain service.
pub const SERVERS: [&str; 2] = ["server-1", "server-2"];
/// API key of Debrecen's desk.
pub const DESK_KEY: &str = "debrecen-desk-key";
/// API key of Debrecen's tablet.
pub const TABLET_KEY: &str = "debrecen-tablet-key";
/// API key of Cebu's clinic.
pub const CLINIC_KEY: &str = "cebu-clinic-key";
/// Model service.
pub const MODEL_SERVICE: &str = "fogas-llm";
/// Plain service with non-idempotent calls.
pub const BOOKING_SERVICE: &str = "foglalas";
/// Service of another workspace.
pub const ORDERS_SERVICE: &str = "orders-app";

/// Data that the platform and the hosts return.
#[derive(Clone)]
pub struct Fleet {
    pub hosts: Vec<HostEntry>,
    pub record: FabricRecord,
    pub version: ObjectVersion,
    pub reports: Vec<HostReport>,
}

impl Fleet {
    /// Fleet in which every host serves.
    pub fn healthy() -> Self {
        let engines = ENGINES.iter().enumerate();
        let engines = engines.map(|(index, host)| list_host(host, index, None));
        let servers = SERVERS.iter().enumerate();
        let servers =
            servers.map(|(index, host)| list_host(host, 10 + index, Some(BOOKING_SERVICE)));
        let mut record = FabricRecord::new(FabricName::new("kozep-a-1").unwrap());
        record.groups.push(make_group());
        Self {
            hosts: engines.chain(servers).collect(),
            record,
            version: ObjectVersion(1),
            reports: (0..ENGINES.len()).map(report_of).collect(),
        }
    }

    /// Healthy fleet with a second group, of two further engines.
    pub fn with_two_groups() -> Self {
        let mut fleet = Self::healthy();
        let name = GroupName::new("quotes-2").unwrap();
        let mut group = make_group();
        group.group = name.clone();
        for (rank, member) in group.members.iter_mut().enumerate() {
            let index = ENGINES.len() + rank;
            let entry = list_host(&format!("engine-{}", index + 1), index, None);
            member.host = entry.host.clone();
            member.address = entry.address;
            let mut report = report_of(rank);
            report.host = entry.host.clone();
            report.assignment.as_mut().unwrap().group = name.clone();
            fleet.reports.push(report);
            fleet.hosts.push(entry);
        }
        fleet.record.groups.push(group);
        fleet
    }

    /// Group to change; the record gets a newer version.
    pub fn edit_group(&mut self) -> &mut GroupRecord {
        self.version = self.version.next();
        &mut self.record.groups[0]
    }

    /// Entry of a host in the host list.
    pub fn entry(&mut self, host: &str) -> &mut HostEntry {
        let mut hosts = self.hosts.iter_mut();
        hosts.find(|entry| entry.host.as_str() == host).unwrap()
    }
}

fn list_host(host: &str, index: usize, service: Option<&str>) -> HostEntry {
    HostEntry {
        host: HostName::new(host).unwrap(),
        address: format!("127.0.0.1:{}", 9_000 + index).parse().unwrap(),
        domain: DomainName::new("kozep-a").unwrap(),
        fabric: service
            .is_none()
            .then(|| FabricName::new("kozep-a-1").unwrap()),
        service: service.map(|service| ServiceName::new(service).unwrap()),
        accelerators: 8,
        presence: Presence::Live,
    }
}

fn make_group() -> GroupRecord {
    let members = ENGINES
        .iter()
        .enumerate()
        .map(|(index, host)| MemberRecord {
            host: HostName::new(host).unwrap(),
            address: format!("127.0.0.1:{}", 9_000 + index).parse().unwrap(),
            incarnation: HostIncarnation(1),
        });
    GroupRecord {
        group: GroupName::new("quotes-1").unwrap(),
        deployment: DeploymentName::new("quotes").unwrap(),
        model: ModelName::new("fogas-7b").unwrap(),
        epoch: GroupEpoch(1),
        phase: GroupPhase::Active,
        members: members.collect(),
    }
}

/// Report of an engine that serves as its member of the group.
pub fn report_of(index: usize) -> HostReport {
    HostReport {
        host: HostName::new(ENGINES[index]).unwrap(),
        incarnation: HostIncarnation(1),
        assignment: Some(HostAssignment {
            group: GroupName::new("quotes-1").unwrap(),
            epoch: GroupEpoch(1),
            rank: index,
        }),
        phase: MemberPhase::Ready,
        model: Some(ModelName::new("fogas-7b").unwrap()),
        load: LoadReport::default(),
    }
}

/// Document with both workspaces.
pub fn document() -> Arc<Document> {
    let digest = |key| KeyDigest::of_key(key).to_hex();
    let text = format!(
        "deployments:\n  \
           quotes: {{model: fogas-7b, group_size: 2, groups: 1, stream_limit: 2}}\n\
         services:\n  \
           {MODEL_SERVICE}: {{deployment: quotes, timeout_ms: 30000}}\n  \
           {BOOKING_SERVICE}: {{timeout_ms: 30000, plain: {{non_idempotent: ['POST /charges'], call_limit: 4}}}}\n  \
           {ORDERS_SERVICE}: {{plain: {{}}}}\n\
         workspaces:\n  \
           debrecen:\n    \
             services: [{MODEL_SERVICE}, {BOOKING_SERVICE}]\n    \
             callers: {{desk: {{key_sha256: {}}}, tablet: {{key_sha256: {}}}}}\n  \
           cebu:\n    \
             services: [{ORDERS_SERVICE}]\n    \
             callers: {{clinic: {{key_sha256: {}}}}}\n",
        digest(DESK_KEY),
        digest(TABLET_KEY),
        digest(CLINIC_KEY),
    );
    let section = Section {
        owner: TeamName::new("platform").unwrap(),
        revision: SectionRevision(1),
        text: Arc::from(text),
        edits: Default::default(),
    };
    let mut document = Document::default();
    let name = SectionName::new("all").unwrap();
    document.sections.insert(name, section);
    Arc::new(document)
}
