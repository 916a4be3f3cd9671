//! What the owner of a fabric domain wants done.

use std::net::SocketAddr;

use base::prelude::*;

use crate::{FabricRecord, MemberRecord};

/// Something to carry out at the border.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FabricEffect {
    /// Read the fabric domain's object and hand it to `observe_record`.
    Read {
        /// Fabric domain to read.
        fabric: FabricName,
    },
    /// Update the object and hand the end to `complete_write`.
    Write {
        /// New record; its nonce names the write.
        record: FabricRecord,
        /// Version that the object must still have.
        expected: ObjectVersion,
    },
    /// Give a host an order.
    Order {
        /// Host to order.
        host: HostName,
        /// Where its engine listens.
        address: SocketAddr,
        /// What it shall do.
        order: HostOrder,
        /// Instant from which the border drops it unsent; checked right before sending.
        not_after: ClockTime,
    },
}

/// Order to one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostOrder {
    /// Load the model and serve in a group.
    Join(GroupOrder),
    /// Load a model and wait outside the groups.
    Standby {
        /// Model to load.
        model: ModelName,
        /// Run of the engine that is meant.
        incarnation: HostIncarnation,
        /// Token of the owner lease.
        token: FencingToken,
    },
    /// Belong to no group.
    Idle {
        /// Run of the engine that is meant.
        incarnation: HostIncarnation,
        /// Token of the owner lease.
        token: FencingToken,
    },
}

/// Place that a host shall take in a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupOrder {
    /// Its group.
    pub group: GroupName,
    /// Deployment of the group.
    pub deployment: DeploymentName,
    /// Model to load.
    pub model: ModelName,
    /// Generation of the group's membership.
    pub epoch: GroupEpoch,
    /// Rank of the host.
    pub rank: usize,
    /// Every member by rank.
    pub members: Vec<MemberRecord>,
    /// Run of the engine that is meant.
    pub incarnation: HostIncarnation,
    /// Token of the owner lease.
    pub token: FencingToken,
}
