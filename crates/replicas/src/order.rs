//! Orders to endpoints, and what the planner wants done.

use base::prelude::*;

use crate::{EndpointReport, GroupRecord};

/// Order to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberOrder {
    /// Load a model's weights onto the host.
    Stage {
        /// Model.
        model: ModelName,
    },
    /// Become a member of a group.
    Join {
        /// Group.
        group: GroupName,
        /// Generation.
        epoch: GroupEpoch,
        /// Model to run.
        model: ModelName,
        /// All members, the head first.
        members: Vec<HostName>,
    },
    /// Begin to serve, as head.
    Open {
        /// Group.
        group: GroupName,
        /// Generation.
        epoch: GroupEpoch,
    },
    /// Finish what there is and take no more, as head.
    Close {
        /// Group.
        group: GroupName,
        /// Generation.
        epoch: GroupEpoch,
    },
    /// Be a member no more.
    Leave {
        /// Group.
        group: GroupName,
        /// Generation.
        epoch: GroupEpoch,
    },
}

impl MemberOrder {
    /// Group and generation that it is about, for logs.
    pub fn group(&self) -> Option<(&GroupName, GroupEpoch)> {
        match self {
            Self::Stage { .. } => None,
            Self::Join { group, epoch, .. }
            | Self::Open { group, epoch }
            | Self::Close { group, epoch }
            | Self::Leave { group, epoch } => Some((group, *epoch)),
        }
    }

    /// Word for the order in logs.
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

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It has begun.
    Begun,
    /// The state already holds.
    Holds,
    /// It doesn't fit the endpoint's state.
    Unfit,
    /// The endpoint has seen a newer epoch.
    Outdated,
    /// Another endpoint has the address.
    Misdirected,
    /// It was never sent.
    NotSent,
    /// No answer: it may be carried out now, later or never.
    Unknown,
}

/// How a question to an endpoint ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ReportOutcome {
    /// Its answer.
    Received(EndpointReport),
    /// An answer that can't be read, or a refusal: it lives.
    Unreadable,
    /// No answer in time.
    NoResponse,
}

/// What the planner wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanEffect {
    /// Give an order.
    Order {
        /// Endpoint.
        to: HostName,
        /// Order.
        order: MemberOrder,
    },
    /// Ask an endpoint for its report.
    Probe(HostName),
    /// Write the record if it still has a version.
    Write {
        /// New record.
        record: Arc<GroupRecord>,
        /// Version that the store must still have.
        expected: ObjectVersion,
    },
}
