//! Effects that the owner of a fabric domain requests, and orders to hosts.

use std::net::SocketAddr;

use base::prelude::*;

use crate::{FabricRecord, MemberRecord};

/// Action to be performed at the border.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FabricEffect {
    /// Read the fabric domain's object and pass it to `observe_record`.
    Read {
        /// Name of the fabric domain.
        fabric: FabricName,
    },
    /// Update the object and pass the outcome to `complete_write`.
    Write {
        /// New record; its nonce identifies the write.
        record: FabricRecord,
        /// Version that the object must have for the update to apply.
        expected: ObjectVersion,
    },
    /// Send an order to a host.
    Order {
        /// Host that receives the order.
        host: HostName,
        /// Address of its engine.
        address: SocketAddr,
        /// Content of the order.
        order: HostOrder,
        /// Instant from which the border must not send it; checked right before sending.
        not_after: ClockTime,
    },
}

/// Order to one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostOrder {
    /// Load the model and serve in a group.
    Join(GroupOrder),
    /// Load a model without joining a group.
    Standby {
        /// Model to load.
        model: ModelName,
        /// Incarnation of the engine that the order is for.
        incarnation: HostIncarnation,
        /// Token of the owner lease.
        token: FencingToken,
    },
    /// Leave the present group.
    Idle {
        /// Incarnation of the engine that the order is for.
        incarnation: HostIncarnation,
        /// Token of the owner lease.
        token: FencingToken,
    },
}

/// Order to join a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupOrder {
    /// Name of the group.
    pub group: GroupName,
    /// Deployment of the group.
    pub deployment: DeploymentName,
    /// Model to load.
    pub model: ModelName,
    /// Epoch of the group's membership.
    pub epoch: GroupEpoch,
    /// Rank of the host in the group.
    pub rank: usize,
    /// Members by rank.
    pub members: Vec<MemberRecord>,
    /// Incarnation of the engine that the order is for.
    pub incarnation: HostIncarnation,
    /// Token of the owner lease.
    pub token: FencingToken,
}
