//! What the loop hears and what it wants done.

use std::net::SocketAddr;

use base::prelude::*;
use net::ReplyId;
use relay::{AttemptEnd, CallStep, StallStep};
use replicas::{GroupRecord, MemberOrder, OrderOutcome, ReportOutcome};
use store::{ObjectChange, UpdateOutcome};

use crate::EdgeSettings;
use crate::border::ports::{Feed, FeedChange, FeedItem};
use crate::peer::{Digest, PeerMessage};

/// News of a feed.
#[derive(Clone, Debug)]
pub enum FeedEvent {
    /// The whole feed was read.
    Listed(Vec<FeedItem>, ObjectVersion),
    /// Changes came; an empty list says that the store is there.
    Changed(Vec<FeedChange>, ObjectVersion),
    /// The store gives no answers.
    Lost,
}

/// Request as the front hands it in.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Number within this process.
    pub call: CallId,
    /// Identity that its client gave it.
    pub id: Arc<str>,
    /// Host name that it asks for.
    pub host: Arc<str>,
    /// Its path.
    pub path: Arc<str>,
    /// Key of a workspace.
    pub key: Option<Arc<str>>,
    /// Model it asks for.
    pub model: Option<ModelName>,
    /// Instant at which its client gives up.
    pub client_deadline: Option<ClockTime>,
}

/// Why a request is turned away before it is offered to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// This node knows no configuration yet.
    NoIntent,
    /// No route fits.
    NoRoute,
    /// The key is missing or unknown.
    Denied,
}

/// What becomes of a request that has come in.
#[derive(Clone, Debug)]
pub enum ArrivalOutcome {
    /// It goes on to a server, or is refused.
    Taken {
        /// Version of the configuration that decided.
        version: u64,
        /// Route it takes.
        route: Arc<intent::Route>,
        /// Workspace of its key.
        workspace: Option<WorkspaceName>,
        /// Instant at which its client or its route gives up.
        deadline: ClockTime,
        /// First step.
        step: CallStep,
    },
    /// It is turned away.
    Rejected(RejectReason),
}

/// Question of a task to the loop.
#[derive(Clone, Debug)]
pub enum EdgeQuestion {
    /// A request has come in.
    Arrive(Box<Arrival>),
    /// An attempt has ended without a whole answer.
    Ended(CallId, AttemptEnd),
    /// A server says nothing.
    Check(CallId),
    /// The platform or a person asks how the node is.
    Status,
}

/// How the node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgeStatus {
    /// Whether new connections are welcome.
    pub is_ready: bool,
    /// Whether the node is about to end.
    pub is_stopping: bool,
    /// Version of the configuration in force.
    pub intent_version: Option<u64>,
    /// Whether this node forms the groups.
    pub is_owner: bool,
    /// Groups that serve.
    pub serving: usize,
    /// Endpoints known.
    pub endpoints: usize,
    /// Requests under way.
    pub calls: usize,
}

/// Answer of the loop to a question.
#[derive(Clone, Debug)]
pub enum EdgeAnswer {
    /// What becomes of an arrival.
    Arrival(Box<ArrivalOutcome>),
    /// What to do with a request next.
    Step(CallStep),
    /// What to do about a silent server.
    Stall(StallStep),
    /// How the node is.
    Status(EdgeStatus),
}

/// Something that happened.
#[derive(Debug)]
pub enum EdgeEvent {
    /// A task asks.
    Asked(ReplyId, EdgeQuestion),
    /// Bytes of a request's answer came.
    Progress(CallId),
    /// A request was answered, or its client left.
    Finished(CallId),
    /// News of a feed.
    Fed(Feed, FeedEvent),
    /// An object was written, or not.
    Updated(ObjectChange, UpdateOutcome),
    /// An order ended.
    Ordered(HostName, MemberOrder, OrderOutcome),
    /// A question to an endpoint ended.
    Reported(HostName, ReportOutcome),
    /// Another node said something.
    Peer(PeerMessage),
    /// The settings were read again and have changed.
    Reloaded(Box<EdgeSettings>),
    /// The process should end.
    Stop,
}

/// How closely this node must follow the feeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedPace {
    /// Whether it owns the groups and acts on each change.
    pub is_owner: bool,
    /// Whether other nodes would tell it what it misses.
    pub has_peers: bool,
    /// Whether another node tells it all that it must know of endpoints.
    pub is_told: bool,
}

/// Something to be done.
#[derive(Debug)]
pub enum EdgeEffect {
    /// Answer a task.
    Answer(ReplyId, EdgeAnswer),
    /// Write an object.
    Update(ObjectChange),
    /// Give an order.
    Order {
        /// Endpoint.
        to: HostName,
        /// Its address.
        address: SocketAddr,
        /// Order.
        order: MemberOrder,
    },
    /// Ask an endpoint.
    Probe {
        /// Endpoint.
        of: HostName,
        /// Its address.
        address: SocketAddr,
    },
    /// Tell another node something.
    Send {
        /// Its address.
        to: SocketAddr,
        /// What.
        message: PeerMessage,
    },
    /// Follow the feeds at another pace.
    Pace(FeedPace),
    /// Ask clients not to keep their connections.
    Close,
    /// Accept no more connections and end once the open ones are done.
    Drain,
    /// End now.
    Exit,
}

impl EdgeEffect {
    /// Digest for a node.
    pub(crate) fn digest(to: SocketAddr, digest: Digest) -> Self {
        Self::Send {
            to,
            message: PeerMessage::Digest(Box::new(digest)),
        }
    }

    /// Record for a node.
    pub(crate) fn record(to: SocketAddr, record: Arc<GroupRecord>, version: ObjectVersion) -> Self {
        Self::Send {
            to,
            message: PeerMessage::Record(record, version),
        }
    }
}
