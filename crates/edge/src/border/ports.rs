//! What the daemon needs of the platform around it.
//!
//! An adapter implements these traits and knows the platform's names, formats
//! and calls; nothing else does.

use std::net::SocketAddr;

use crate::EdgeSettings;
use base::prelude::*;
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, StatusCode};
use intent::RoutingConfig;
use replicas::{Endpoint, MemberOrder, OrderOutcome, ReportOutcome};
use store::{ObjectChange, StoredObject, UpdateOutcome};

/// Collection of objects that a node follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Feed {
    /// The operator's configuration.
    RoutingConfig,
    /// The endpoints that are there.
    Endpoints,
    /// What the nodes share: their addresses and the groups.
    Shared,
}

impl Feed {
    /// Every feed.
    pub const ALL: [Self; 3] = [Self::RoutingConfig, Self::Endpoints, Self::Shared];

    /// Word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RoutingConfig => "intent",
            Self::Endpoints => "endpoints",
            Self::Shared => "shared",
        }
    }
}

/// Object of a feed, decoded.
#[derive(Clone, Debug)]
pub enum FeedItem {
    /// A version of the configuration, and the text that it was read from.
    RoutingConfig(Arc<RoutingConfig>, Arc<str>),
    /// An endpoint.
    Endpoint(Endpoint),
    /// An object of the nodes.
    Shared(StoredObject),
    /// An object that can't be decoded; it is as if it weren't there.
    Unreadable {
        /// Its name.
        name: Arc<str>,
        /// What is wrong with it.
        reason: String,
    },
}

/// Change of a feed.
#[derive(Clone, Debug)]
pub enum FeedChange {
    /// An object is there, or has changed.
    Put(FeedItem),
    /// An object was removed.
    Removed(Arc<str>),
}

/// How listing a feed ended.
#[derive(Clone, Debug)]
pub enum ListOutcome {
    /// All objects, as of a revision of the store.
    Listed(Vec<FeedItem>, ObjectVersion),
    /// No list came.
    Unavailable,
}

/// How following a feed ended.
#[derive(Clone, Debug)]
pub enum FollowOutcome {
    /// Changes up to a revision; none if the wait is over.
    Changed(Vec<FeedChange>, ObjectVersion),
    /// The store has forgotten what came after that revision.
    Forgotten,
    /// No answer came.
    Unavailable,
}

/// The platform's store as a node uses it.
pub trait PlatformStore {
    /// Lists a feed.
    fn list(&self, feed: Feed) -> LocalBoxFuture<'static, ListOutcome>;

    /// Waits for changes of a feed after a revision.
    fn follow(
        &self,
        feed: Feed,
        since: ObjectVersion,
        wait: Duration,
    ) -> LocalBoxFuture<'static, FollowOutcome>;

    /// Writes an object of the nodes if its version is still the expected one.
    fn update(&self, change: ObjectChange) -> LocalBoxFuture<'static, UpdateOutcome>;

    /// Reads a configuration from the text that [`FeedItem::RoutingConfig`] carries.
    fn read_intent(&self, text: &str) -> Result<RoutingConfig, String>;
}

/// The settings of this node.
pub trait SettingsSource {
    /// Reads them; an error says what to change.
    fn read(&self) -> Result<EdgeSettings, String>;
}

/// Orders and questions to endpoints.
pub trait EndpointPort {
    /// Gives an order.
    fn order(
        &self,
        address: SocketAddr,
        to: &HostName,
        order: &MemberOrder,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, OrderOutcome>;

    /// Asks for a report.
    fn report(
        &self,
        address: SocketAddr,
        of: &HostName,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, ReportOutcome>;
}

/// What a request's headers say.
#[derive(Clone, Debug, Default)]
pub struct RequestMarks {
    /// Identity of the request.
    pub id: Option<Arc<str>>,
    /// Key of a workspace.
    pub key: Option<Arc<str>>,
    /// Model it asks for.
    pub model: Option<ModelName>,
    /// Tokens to read.
    pub prompt_tokens: u32,
    /// Tokens to write at most.
    pub answer_tokens: u32,
    /// Time that the client waits.
    pub patience: Option<Duration>,
    /// Last event that the client has.
    pub last_event: Option<u64>,
}

/// What a forwarded request says to the server.
#[derive(Clone, Debug)]
pub struct ForwardMarks {
    /// Server that must be the one to run it.
    pub place: HostName,
    /// Time left.
    pub time_left: Duration,
    /// Workspace of its key.
    pub workspace: Option<WorkspaceName>,
    /// Rank in the server's queue.
    pub rank: Option<u8>,
    /// Last event that the client has.
    pub last_event: Option<u64>,
}

/// What an answer's headers say.
#[derive(Clone, Debug, Default)]
pub struct AnswerMarks {
    /// Request that it answers, if it says so.
    pub id: Option<Arc<str>>,
    /// Whether it carries the server's proof of being its own.
    pub is_sealed: bool,
    /// Whether the server says that it did not run the request.
    pub is_not_run: bool,
    /// Whether it says so because the request belongs to another server.
    pub is_misdirected: bool,
    /// Whether its body was encoded on the way.
    pub is_encoded: bool,
    /// Server at fault, if it names one.
    pub culprit: Option<Arc<str>>,
}

/// Headers of requests and answers.
pub trait RequestDialect {
    /// Reads a request's headers.
    fn read_request(&self, headers: &HeaderMap) -> RequestMarks;

    /// Headers with which a request goes on.
    fn forward_headers(&self, headers: &HeaderMap, marks: &ForwardMarks) -> HeaderMap;

    /// Reads an answer's status and headers.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMarks;

    /// Headers with which an answer goes back.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;
}
