//! Groups, members and the owner lease of one fabric domain.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::prelude::*;

/// Everything decided about one fabric domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FabricRecord {
    /// Fabric domain it is about.
    pub fabric: FabricName,
    /// Present owner, if any.
    pub lease: Option<OwnerLease>,
    /// Token of the newest lease; grows at every change of owner.
    pub token: FencingToken,
    /// Its replica groups.
    pub groups: Vec<GroupRecord>,
    /// Groups formed so far; numbers the next one.
    pub formed: u64,
    /// Hosts that load a model ahead of need.
    pub standbys: Vec<StandbyRecord>,
    /// Hosts taken out of a group because they were slow.
    pub stragglers: Vec<StragglerRecord>,
    /// Writer's mark of the update that made this record.
    pub nonce: WriteNonce,
}

impl FabricRecord {
    /// Record of a fabric domain that nobody has owned yet.
    pub fn new(fabric: FabricName) -> Self {
        Self {
            fabric,
            lease: None,
            token: FencingToken::default(),
            groups: Vec::new(),
            formed: 0,
            standbys: Vec::new(),
            stragglers: Vec::new(),
            nonce: WriteNonce::default(),
        }
    }

    /// Every host that is in a group.
    pub fn member_hosts(&self) -> BTreeSet<&HostName> {
        let members = self.groups.iter().flat_map(|group| &group.members);
        members.map(|member| &member.host).collect()
    }
}

/// Right of one node to give orders in a fabric domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerLease {
    /// Node that holds it.
    pub holder: NodeName,
    /// Run of that node's process.
    pub process: u64,
    /// Renewals so far; others time the lease from the last change they saw.
    pub renewals: u64,
}

/// One replica group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupRecord {
    /// Name of the group.
    pub group: GroupName,
    /// Deployment it belongs to.
    pub deployment: DeploymentName,
    /// Model that every member loads.
    pub model: ModelName,
    /// Generation of its membership.
    pub epoch: GroupEpoch,
    /// Whether it may serve.
    pub phase: GroupPhase,
    /// Members by rank; the first one takes the calls.
    pub members: Vec<MemberRecord>,
}

/// Whether a group may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupPhase {
    /// May serve once every member is ready.
    Active,
    /// Finishes its calls and takes no new ones.
    Draining,
}

/// Host in a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Its host.
    pub host: HostName,
    /// Where its engine listens.
    pub address: SocketAddr,
    /// Run of the engine that was put into the group.
    pub incarnation: HostIncarnation,
}

/// Host outside the groups that loads a deployment's model ahead of need.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandbyRecord {
    /// Its place, as in a group.
    pub member: MemberRecord,
    /// Deployment whose model it loads.
    pub deployment: DeploymentName,
}

/// Host that was replaced because it was slow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StragglerRecord {
    /// The slow host.
    pub host: HostName,
    /// Run of its engine that was slow.
    pub incarnation: HostIncarnation,
}

/// What a host says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostReport {
    /// Host that reports.
    pub host: HostName,
    /// Run of its engine.
    pub incarnation: HostIncarnation,
    /// Group it was last ordered into.
    pub assignment: Option<HostAssignment>,
    /// How far it is.
    pub phase: MemberPhase,
    /// Model that it has loaded or is loading.
    pub model: Option<ModelName>,
    /// Its load, which may be some time old.
    pub load: LoadReport,
}

/// Place of a host in a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAssignment {
    /// Its group.
    pub group: GroupName,
    /// Generation of the group.
    pub epoch: GroupEpoch,
    /// Rank within the group.
    pub rank: usize,
}

/// How far a host is with its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberPhase {
    /// In no group.
    Idle,
    /// Loading weights.
    Loading,
    /// Ready to serve.
    Ready,
    /// Finishes its calls and goes.
    Leaving,
}

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Streams running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Time of one decoding step in microseconds; zero while none has run.
    pub step_micros: u32,
}
