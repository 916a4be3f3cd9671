//! Events and effects of the event loop.

use std::net::SocketAddr;

use base::prelude::*;
use intent::TokenCounts;
use net::ReplyId;
use notices::{ServerNotice, ServerRun};
use quarantine::{PromptParts, RequestDigest};
use relay::{AttemptEnd, AttemptId, CallStep, SendTarget, StallStep};
use replicas::{GroupRecord, MemberOrder, OrderOutcome, ProbeOutcome};
use store::{ObjectChange, UpdateOutcome};

use crate::border::ports::{CollectionChange, CollectionItem, StoreCollection};
use crate::peer::{Digest, PeerMessage, TargetsVersion};
use crate::{EdgeSettings, PassDecision, PassRequest};

/// Result of listing or watching a collection.
#[derive(Clone, Debug)]
pub enum CollectionEvent {
    /// All objects, as of a revision of the store.
    Listed(Vec<CollectionItem>, ObjectVersion),
    /// Changes up to a revision; none if the watch timed out.
    Changed(Vec<CollectionChange>, ObjectVersion),
    /// The store did not respond.
    Unavailable,
}

/// Request of a client, as far as it matters for routing.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Number within this process.
    pub call: CallId,
    /// Instant at which it arrived.
    pub arrived_at: ClockTime,
    /// Request ID that its client set; empty if it set none.
    pub id: Arc<str>,
    /// Requested host name.
    pub host: Arc<str>,
    /// Path of the URL.
    pub path: Arc<str>,
    /// API key of a workspace.
    pub key: Option<Arc<str>>,
    /// Requested model.
    pub model: Option<ModelName>,
    /// Parts of its prompt.
    pub prompt: PromptParts,
    /// Its tokens, as far as its client names them.
    pub tokens: TokenCounts,
    /// Whether its client has received a part of the answer before.
    pub is_resumed: bool,
    /// Digest of its content; the caller's workspace is not part of it.
    pub digest: RequestDigest,
    /// Instant at which its client times out.
    pub client_deadline: Option<ClockTime>,
}

/// Why a request is rejected before it is sent to any server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// This node has no configuration yet.
    NoIntent,
    /// It has a configuration that it knows to be too old for an answer.
    OutdatedConfig,
    /// It has just started and doesn't know yet which failure domains are evacuated.
    UnknownEvacuations,
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    Denied,
    /// Servers can't be sent the name of its workspace.
    UnsendableWorkspace,
    /// It, or a part of its prompt, has crashed several servers.
    Quarantined {
        /// Time until the quarantine ends.
        retry_after: Duration,
    },
}

impl RejectReason {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoIntent => "NoIntent",
            Self::OutdatedConfig => "OutdatedConfig",
            Self::UnknownEvacuations => "UnknownEvacuations",
            Self::NoRoute => "NoRoute",
            Self::Denied => "Denied",
            Self::UnsendableWorkspace => "UnsendableWorkspace",
            Self::Quarantined { .. } => "Quarantined",
        }
    }
}

/// Outcome of the checks of an arriving request.
#[derive(Clone, Debug)]
pub enum ArrivalOutcome {
    /// It matches a route.
    Accepted {
        /// Version of the configuration that was applied.
        version: u64,
        /// Matching route.
        route: Arc<intent::Route>,
        /// Workspace of its API key.
        workspace: Option<WorkspaceName>,
        /// Earlier of the client's deadline and the end of the route's timeout.
        deadline: ClockTime,
        /// First step.
        step: CallStep,
    },
    /// It is rejected.
    Rejected(RejectReason),
}

/// Question of a task to the event loop.
#[derive(Clone, Debug)]
pub enum EdgeQuestion {
    /// A request has arrived.
    Arrive(Box<Arrival>),
    /// An attempt has ended without a complete response.
    Ended(AttemptId, AttemptEnd),
    /// The server of a request's latest attempt has sent nothing for a while.
    Check {
        /// Latest attempt.
        attempt: AttemptId,
        /// Whether the client has got the head of the response, so that a refusal would cut it.
        is_answering: bool,
    },
    /// The server's status of a request tells clients that it was not run, which the server doesn't
    /// report.
    MayRepeat(CallId),
    /// Another node asks to pass an attempt on to a server.
    PassOn(Box<PassRequest>),
    /// The server of an attempt that this node carries broke its connection before a response.
    PassLost(CallId),
    /// The connection for an attempt beside or after another one is open.
    MaySend(AttemptId),
    /// The status of the node is requested.
    Status,
}

/// Status of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgeStatus {
    /// Whether the node accepts new connections.
    pub is_ready: bool,
    /// Whether the node is stopping.
    pub is_stopping: bool,
    /// Version of the active configuration.
    pub config_version: Option<u64>,
    /// Whether this node owns the groups.
    pub is_owner: bool,
    /// Number of groups that serve.
    pub serving: usize,
    /// Number of known endpoints.
    pub endpoints: usize,
    /// Number of requests in flight.
    pub calls: usize,
}

/// Reply of the event loop to a question.
#[derive(Clone, Debug)]
pub enum EdgeReply {
    /// Outcome of an arrival.
    Arrival(Box<ArrivalOutcome>),
    /// The arriving request has to wait, as this node has just started, or its configuration is
    /// about to be replaced, and it will know shortly where to send it.
    Waiting {
        /// Instant at which to ask again.
        until: ClockTime,
    },
    /// Next step of a request.
    Step(CallStep),
    /// What to do about a stalled attempt.
    Stall(StallStep),
    /// Whether the request may run more than once.
    MayRepeat(bool),
    /// Whether this node passes the attempt on.
    Pass(PassDecision),
    /// Whether this node reports a crash of the server of an attempt that it carried.
    PassLost {
        /// Whether it does.
        is_reported: bool,
    },
    /// Whether the attempt may still be sent.
    MaySend(bool),
    /// Status of the node.
    Status(EdgeStatus),
}

/// Event of the loop.
#[derive(Debug)]
pub enum EdgeEvent {
    /// A task has asked a question.
    Asked(ReplyId, EdgeQuestion),
    /// Complete events of a response arrived; other attempts of the request have ended.
    Progress(AttemptId),
    /// A server has begun to answer a request.
    Answered(CallId),
    /// A request was answered completely.
    Completed(CallId),
    /// An attempt has ended whose request can't be sent again.
    Broken(AttemptId, AttemptEnd),
    /// A server has announced something in a response, or no longer does.
    Announced {
        /// Run of the server that was sent the request.
        run: ServerRun,
        /// ID of the request that it answered.
        id: Arc<str>,
        /// What it announced.
        notice: ServerNotice,
    },
    /// Another node's newer version of the configuration lets a request run once only.
    OnceOnly(CallId),
    /// A request was answered, or its client disconnected.
    Finished(CallId),
    /// A collection was listed, has changed or could not be read.
    Collection(StoreCollection, CollectionEvent),
    /// A write to the store ended.
    Updated(ObjectChange, UpdateOutcome),
    /// An order to an endpoint ended.
    Ordered(HostName, MemberOrder, OrderOutcome),
    /// A probe of an endpoint ended.
    Reported(HostName, ProbeOutcome),
    /// A request that this node passed on got no response from a server.
    PassFailed(HostName),
    /// The server of an attempt that this node carries broke its connection within the response.
    PassBroken(CallId),
    /// A server has responded on a new connection on trial, or has not.
    Tried(HostName, bool),
    /// A message of another node arrived.
    Peer(PeerMessage),
    /// Another node has opened a new connection to this one.
    Connected(NodeName),
    /// A configuration was sent to the node with this address, or given up.
    Transferred(SocketAddr),
    /// The settings were reloaded and have changed.
    Reloaded(Box<EdgeSettings>),
    /// The process was asked to stop.
    Stop,
}

/// How closely this node has to watch the collections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchMode {
    /// Whether this node owns the groups, so that it acts on each change.
    pub is_owner: bool,
    /// Whether it has claimed the groups and needs a newer list of the endpoints before it acts.
    pub awaits_list: bool,
    /// Whether enough other nodes would send it the changes that it misses.
    pub has_peers: bool,
    /// Whether the owner sends it the targets, so that it need not watch the endpoints.
    pub receives_targets: bool,
    /// Whether it has to list the endpoints because no hub will send it targets soon.
    pub lists_endpoints: bool,
    /// Whether no hub that it hears can own the groups, so that it must find out whether the store
    /// is away.
    pub lacks_hubs: bool,
    /// Whether hubs have had a newer configuration for longer than they take to send it.
    pub lacks_config: bool,
    /// Whether it has to read itself which failure domains are evacuated, as no hub tells it.
    pub watches_evacuations: bool,
}

impl WatchMode {
    /// The flags and their names, for logs and metrics.
    pub fn flags(self) -> [(&'static str, bool); 8] {
        [
            ("is_owner", self.is_owner),
            ("awaits_list", self.awaits_list),
            ("has_peers", self.has_peers),
            ("receives_targets", self.receives_targets),
            ("lists_endpoints", self.lists_endpoints),
            ("lacks_hubs", self.lacks_hubs),
            ("lacks_config", self.lacks_config),
            ("watches_evacuations", self.watches_evacuations),
        ]
    }
}

/// Effect that the border executes.
#[derive(Debug)]
pub enum EdgeEffect {
    /// Reply to the task that asked a question.
    Reply(ReplyId, EdgeReply),
    /// Write an object to the store.
    Update(ObjectChange),
    /// Send an order to an endpoint.
    Order {
        /// Receiver.
        to: HostName,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: MemberOrder,
    },
    /// Request an endpoint's report.
    Probe {
        /// Probed endpoint.
        of: HostName,
        /// Its address.
        address: SocketAddr,
    },
    /// Find out whether a server responds on a new connection.
    Try {
        /// The server.
        server: HostName,
        /// Its address.
        address: SocketAddr,
    },
    /// Count a change of whether this node reaches servers; the label of the metric says which.
    CountReach(&'static str),
    /// Count a step of a fabric domain's move to another model; the label of the metric says which.
    CountMove(&'static str),
    /// Report the demand for a model and what its groups carry, in requests a second.
    ReportDemand {
        /// The model.
        model: ModelName,
        /// Demand for it.
        demand: u64,
        /// What its groups carry.
        capacity: u64,
    },
    /// Send a message to another node.
    Send {
        /// Address of the node.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Send the next message to a node on a new connection.
    Reconnect(SocketAddr),
    /// Count parts of prompts that were quarantined.
    CountQuarantinedParts(usize),
    /// Count requests that were quarantined.
    CountQuarantinedRequests(usize),
    /// Count an announcement of a server; the label of the metric says of what.
    CountNotice(&'static str),
    /// Report the number of evacuated failure domains as a metric.
    ReportEvacuated(usize),
    /// Count targets that were left out because their failure domain is evacuated.
    CountEvacuationSkips(u64),
    /// Watch the collections in another mode.
    SetWatchMode(WatchMode),
    /// Report the number of cold servers that get requests, and count those passed over since.
    ReportCold {
        /// Servers that are cold.
        servers: usize,
        /// Times that a server was passed over because it is cold.
        skips: u64,
    },
    /// Report the version of the active configuration as a metric.
    ReportConfig(u64),
    /// Ask clients to close their connections after each response.
    Close,
    /// Accept no more connections and exit once the open ones are closed.
    Drain,
    /// Exit now.
    Exit,
}

impl EdgeEffect {
    /// Sends a digest to a node.
    pub(crate) fn digest(to: SocketAddr, digest: Digest) -> Self {
        Self::Send {
            to,
            message: PeerMessage::Digest(Box::new(digest)),
        }
    }

    /// Sends targets to a node.
    pub(crate) fn targets(
        to: SocketAddr,
        targets: Arc<[SendTarget]>,
        version: TargetsVersion,
    ) -> Self {
        Self::Send {
            to,
            message: PeerMessage::Targets(targets, version),
        }
    }

    /// Sends the record of groups to a node.
    pub(crate) fn record(to: SocketAddr, record: Arc<GroupRecord>, version: ObjectVersion) -> Self {
        Self::Send {
            to,
            message: PeerMessage::Record(record, version),
        }
    }
}
