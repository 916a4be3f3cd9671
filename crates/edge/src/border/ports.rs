//! Interfaces to the platform.
//!
//! Only the adapter that implements these traits knows the platform's names, formats
//! and calls.

use std::net::SocketAddr;

use crate::EdgeSettings;
use base::prelude::*;
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, HeaderName, StatusCode};
use intent::RoutingConfig;
use net::web::ReadProgress;
use notices::ServerNotice;
use quarantine::PromptParts;
use replicas::{Endpoint, MemberOrder, OrderOutcome, ProbeOutcome};
use store::{ObjectChange, StoredObject, UpdateOutcome};

/// Collection of objects that a node lists and watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StoreCollection {
    /// The operators' configuration.
    RoutingConfig,
    /// The available endpoints.
    Endpoints,
    /// Objects that the nodes share: their entries and the record of groups.
    Shared,
    /// The evacuated failure domains; followed only if the settings say so.
    Evacuations,
}

impl StoreCollection {
    /// Every collection.
    pub const ALL: [Self; 4] = [
        Self::RoutingConfig,
        Self::Endpoints,
        Self::Shared,
        Self::Evacuations,
    ];

    /// Collections that are followed whatever the settings say.
    pub const REQUIRED: [Self; 3] = [Self::RoutingConfig, Self::Endpoints, Self::Shared];

    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RoutingConfig => "intent",
            Self::Endpoints => "endpoints",
            Self::Shared => "shared",
            Self::Evacuations => "evacuations",
        }
    }
}

/// Decoded object of a collection.
#[derive(Clone, Debug)]
pub enum CollectionItem {
    /// A version of the configuration, and the text that it was parsed from.
    RoutingConfig(Arc<RoutingConfig>, Arc<str>),
    /// An endpoint.
    Endpoint(Endpoint),
    /// An object that the nodes share.
    Shared(StoredObject),
    /// A failure domain that is evacuated.
    Evacuation(DomainName),
    /// An object that can't be decoded and is treated as absent.
    Unreadable {
        /// Name of the object.
        name: Arc<str>,
        /// Why it can't be decoded.
        reason: String,
    },
}

/// Change of a collection.
#[derive(Clone, Debug)]
pub enum CollectionChange {
    /// An object was added or has changed.
    Put(CollectionItem),
    /// The object with this name was removed.
    Removed(Arc<str>),
}

/// Outcome of listing a collection.
#[derive(Clone, Debug)]
pub enum ListOutcome {
    /// All objects, as of a revision of the store.
    Listed(Vec<CollectionItem>, ObjectVersion),
    /// The store did not respond.
    Unavailable,
}

/// Outcome of watching a collection.
#[derive(Clone, Debug)]
pub enum WatchOutcome {
    /// Changes up to a revision; none if the watch timed out. Of several configurations only the
    /// last is returned.
    Changed(Vec<CollectionChange>, ObjectVersion),
    /// The changes did not arrive whole in time; a list may be shorter.
    Incomplete,
    /// The store doesn't know the changes after the revision, as it has dropped them or was
    /// restored from a copy since; list again.
    Compacted,
    /// The store did not respond.
    Unavailable,
}

/// Client of the platform's store.
pub trait PlatformStore {
    /// Lists a collection.
    fn list(&self, collection: StoreCollection) -> LocalBoxFuture<'static, ListOutcome>;

    /// Waits up to `wait` for changes of a collection after revision `since`; records when bytes of
    /// the response arrive.
    fn watch(
        &self,
        collection: StoreCollection,
        since: ObjectVersion,
        wait: Duration,
        progress: ReadProgress,
    ) -> LocalBoxFuture<'static, WatchOutcome>;

    /// Whether the store is known to have been restored from a copy since it gave a version.
    fn is_superseded(&self, version: ObjectVersion) -> bool;

    /// Writes a shared object if it still has the expected version.
    fn update(&self, change: ObjectChange) -> LocalBoxFuture<'static, UpdateOutcome>;

    /// Parses the text that [`CollectionItem::RoutingConfig`] carries.
    fn parse_config(&self, text: &str) -> Result<RoutingConfig, String>;
}

/// Source of this node's settings.
pub trait SettingsSource {
    /// Reads the settings; an error says what to change.
    fn read(&self) -> Result<EdgeSettings, String>;
}

/// Client of the endpoints' control interface.
pub trait EndpointClient {
    /// Sends an order.
    fn order(
        &self,
        address: SocketAddr,
        to: &HostName,
        order: &MemberOrder,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, OrderOutcome>;

    /// Whether a server responds on a new connection, whatever the response.
    fn responds(
        &self,
        address: SocketAddr,
        server: &HostName,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, bool>;

    /// Requests a report.
    fn report(
        &self,
        address: SocketAddr,
        of: &HostName,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, ProbeOutcome>;
}

/// Metadata of a client request, parsed from its headers.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Request ID.
    pub id: Option<Arc<str>>,
    /// API key of a workspace.
    pub key: Option<Arc<str>>,
    /// Requested model.
    pub model: Option<ModelName>,
    /// Parts of its prompt; none if not given.
    pub prompt: PromptParts,
    /// Number of tokens of the prompt; zero if not given.
    pub prompt_tokens: u32,
    /// Largest number of tokens of the answer; zero if not given.
    pub answer_tokens: u32,
    /// Time after which the client times out.
    pub client_timeout: Option<Duration>,
    /// Number of the last event that the client has received.
    pub last_event: Option<u64>,
}

/// Metadata of a forwarded request.
#[derive(Clone, Debug)]
pub struct ForwardMetadata {
    /// The only server that may run the request.
    pub target: HostName,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Workspace of the client's API key.
    pub workspace: Option<WorkspaceName>,
    /// Rank in the server's queue, if the server ranks requests.
    pub rank: Option<u8>,
    /// Number of the last event that the client has received.
    pub last_event: Option<u64>,
}

/// Metadata of a server's response, parsed from its status and headers.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Whether it carries the seal that proves that the server wrote it.
    pub is_sealed: bool,
    /// Whether the server reports that it did not run the request.
    pub is_not_run: bool,
    /// Whether the request was not run because it belongs to another server.
    pub is_misdirected: bool,
    /// Whether an intermediary encoded its body.
    pub is_encoded: bool,
    /// Address of the endpoint that caused a rejection, if it names one.
    pub faulty_endpoint: Option<Arc<str>>,
    /// What the server announces about itself.
    pub notice: ServerNotice,
}

/// Translation between headers and metadata.
pub trait HeaderCodec {
    /// Header with the ID of a request, which servers repeat in their responses.
    fn tag_header(&self) -> HeaderName;

    /// Whether a response with this status tells a client that its request was not run.
    fn promises_not_run(&self, status: StatusCode) -> bool;

    /// Parses the headers of a client request.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Makes the headers of a forwarded request.
    fn forward_headers(&self, headers: &HeaderMap, metadata: &ForwardMetadata) -> HeaderMap;

    /// Parses the status and headers of a server response.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Makes the headers of the response to the client.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;
}
