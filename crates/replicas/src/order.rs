//! Orders to endpoints and effects of the planner.

use base::prelude::*;

use crate::{EndpointReport, GroupRecord};

/// Order to one endpoint about its group membership or weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberOrder {
    /// Load a model's weights onto the host, without joining a group.
    Stage {
        /// Model to load.
        model: ModelName,
    },
    /// Become a member of a group.
    Join {
        /// Group name.
        group: GroupName,
        /// Epoch of the group.
        epoch: GroupEpoch,
        /// Model to run.
        model: ModelName,
        /// All members; the first is the head.
        members: Vec<HostName>,
    },
    /// Start serving (head only).
    Open {
        /// Group name.
        group: GroupName,
        /// Epoch of the group.
        epoch: GroupEpoch,
    },
    /// Finish the present requests and accept no more (head only).
    Close {
        /// Group name.
        group: GroupName,
        /// Epoch of the group.
        epoch: GroupEpoch,
    },
    /// Leave the group.
    Leave {
        /// Group name.
        group: GroupName,
        /// Epoch of the group.
        epoch: GroupEpoch,
    },
}

impl MemberOrder {
    /// Group and epoch that the order refers to; `None` for staging.
    pub fn group(&self) -> Option<(&GroupName, GroupEpoch)> {
        match self {
            Self::Stage { .. } => None,
            Self::Join { group, epoch, .. }
            | Self::Open { group, epoch }
            | Self::Close { group, epoch }
            | Self::Leave { group, epoch } => Some((group, *epoch)),
        }
    }

    /// Name of the order in logs.
    pub fn verb(&self) -> &'static str {
        match self {
            Self::Stage { .. } => "stage",
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
        }
    }
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The endpoint has started to execute it.
    Begun,
    /// The endpoint is already in the requested state.
    Holds,
    /// Rejected: not possible in the endpoint's present state.
    Unfit,
    /// Rejected: the endpoint has seen a newer epoch.
    Outdated,
    /// Another endpoint now has the address.
    Misdirected,
    /// The order was not sent.
    NotSent,
    /// No response: the order may be executed now, later or never.
    Unknown,
}

/// Outcome of a probe.
#[derive(Clone, Debug, PartialEq)]
pub enum ProbeOutcome {
    /// The endpoint's report.
    Received(EndpointReport),
    /// A response that is an error or can't be parsed; the endpoint is alive.
    Unreadable,
    /// No response in time.
    NoResponse,
}

/// Side effect that the planner requests.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanEffect {
    /// Send an order.
    Order {
        /// Endpoint that receives it.
        to: HostName,
        /// Order.
        order: MemberOrder,
    },
    /// Request a report from an endpoint.
    Probe(HostName),
    /// Write the record by conditional update.
    Write {
        /// New record.
        record: Arc<GroupRecord>,
        /// Version that the stored record must still have.
        expected: ObjectVersion,
    },
}
