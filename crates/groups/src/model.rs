//! Groups, members and the owner lease of one fabric domain.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::prelude::*;

/// Tokens and epochs that can be given out between two restores of the store.
const NUMBERS_PER_ERA: u64 = 1 << 24;

/// Decisions about one fabric domain, as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FabricRecord {
    /// Name of the fabric domain.
    pub fabric: FabricName,
    /// Lease of the current owner; `None` if it was released or never taken.
    pub lease: Option<OwnerLease>,
    /// Token of the newest lease; increases with every change of owner.
    pub token: FencingToken,
    /// Era of the store in which that lease was taken.
    pub era: u64,
    /// Replica groups of the fabric domain.
    pub groups: Vec<GroupRecord>,
    /// Number of groups formed so far; the next group's name contains the next number.
    pub groups_formed: u64,
    /// Hosts outside the groups that preload a model.
    pub standbys: Vec<StandbyRecord>,
    /// Hosts taken out of a group because they were slow.
    pub stragglers: Vec<StragglerRecord>,
    /// Random number that identifies the update that wrote this record.
    pub nonce: WriteNonce,
}

impl FabricRecord {
    /// Record of a fabric domain that has had no owner yet.
    pub fn new(fabric: FabricName) -> Self {
        Self {
            fabric,
            lease: None,
            token: FencingToken::default(),
            era: 0,
            groups: Vec::new(),
            groups_formed: 0,
            standbys: Vec::new(),
            stragglers: Vec::new(),
            nonce: WriteNonce::default(),
        }
    }

    /// Largest number of an earlier era; tokens and epochs of this one are higher.
    ///
    /// A store that was restored from a copy has lost some that engines have seen.
    pub(crate) fn era_floor(&self) -> u64 {
        self.era.saturating_mul(NUMBERS_PER_ERA)
    }

    /// Hosts that are members of a group.
    pub fn member_hosts(&self) -> BTreeSet<&HostName> {
        let members = self.groups.iter().flat_map(|group| &group.members);
        members.map(|member| &member.host).collect()
    }
}

/// Lease that allows one node to send orders in a fabric domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerLease {
    /// Node that holds the lease.
    pub holder: NodeName,
    /// Number of the holder's process; differs at every start of the node.
    pub process: u64,
    /// Number of renewals; each makes a new version, from which other nodes time the lease.
    pub renewals: u64,
}

/// Replica group as recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupRecord {
    /// Name of the group.
    pub group: GroupName,
    /// Deployment it belongs to.
    pub deployment: DeploymentName,
    /// Model that every member loads.
    pub model: ModelName,
    /// Epoch of its membership; increases with every change of members.
    pub epoch: GroupEpoch,
    /// Whether it takes new calls.
    pub phase: GroupPhase,
    /// Members by rank; the first one receives the calls.
    pub members: Vec<MemberRecord>,
}

/// Phase of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupPhase {
    /// Serves once every member is ready.
    Active,
    /// Completes its running calls and takes no new ones.
    Draining,
}

/// Member of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Name of the host.
    pub host: HostName,
    /// Address of its engine.
    pub address: SocketAddr,
    /// Incarnation of the engine that was assigned.
    pub incarnation: HostIncarnation,
}

/// Host outside the groups that preloads a deployment's model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandbyRecord {
    /// Host, address and incarnation.
    pub member: MemberRecord,
    /// Deployment whose model is loaded.
    pub deployment: DeploymentName,
}

/// Host that was replaced because it was slow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StragglerRecord {
    /// Name of the slow host.
    pub host: HostName,
    /// Incarnation of the slow engine.
    pub incarnation: HostIncarnation,
}

/// Status report of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostReport {
    /// Name of the reporting host.
    pub host: HostName,
    /// Incarnation of its engine.
    pub incarnation: HostIncarnation,
    /// Group, epoch and rank of its last order to join; `None` if it is in no group.
    pub assignment: Option<HostAssignment>,
    /// Progress of its last order.
    pub phase: MemberPhase,
    /// Model that is loaded or being loaded.
    pub model: Option<ModelName>,
    /// Load of the engine; may be older than the report.
    pub load: LoadReport,
}

/// Assignment of a host to a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAssignment {
    /// Name of the group.
    pub group: GroupName,
    /// Epoch of the group's membership.
    pub epoch: GroupEpoch,
    /// Rank of the host within the group.
    pub rank: usize,
}

/// Progress of a host with its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberPhase {
    /// Neither loading nor ready.
    Idle,
    /// Loading weights.
    Loading,
    /// Ready to serve.
    Ready,
    /// Completes its running calls and shuts down.
    Leaving,
}

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of running streams.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Duration of a decoding step in microseconds; zero before the first one.
    pub step_micros: u32,
}
