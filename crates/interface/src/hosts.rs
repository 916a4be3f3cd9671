//! The platform's list of live and leaving hosts, which may be out of date.

use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::LocalBoxFuture;
use net::web::{BodyText, CollectOutcome, WebClient, empty_body};

use crate::entries::decode_entries;
use crate::wire::{HostWire, RawHostsWire};

/// Maximum size of the list.
const MAX_LIST_BYTES: usize = 4_000_000;
/// Timeout of a request for the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// Host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// Name of the host.
    pub host: HostName,
    /// Address of its endpoint.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Fabric domain; `None` for hosts without a model engine.
    pub fabric: Option<FabricName>,
    /// Plain service that the host runs; `None` for hosts with a model engine.
    pub service: Option<ServiceName>,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether the host is about to leave.
    pub presence: Presence,
}

/// Whether a listed host is about to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The host is in service.
    Live,
    /// The host is about to leave and accepts no new work.
    Leaving,
}

/// Outcome of a request for the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostsOutcome {
    /// The list that the platform returned.
    Listed(Vec<HostEntry>),
    /// No valid response was received.
    Unavailable,
}

/// Source of the list of hosts.
pub trait HostDirectory {
    /// Requests the list.
    fn hosts(&self) -> LocalBoxFuture<'static, HostsOutcome>;
}

/// HTTP client of the list of hosts.
#[derive(Clone)]
pub struct HttpHostDirectory {
    client: WebClient,
    clock: Rc<dyn ClockSource>,
    server: SocketAddr,
}

impl HttpHostDirectory {
    /// Creates a client of the platform at `server`.
    pub fn new(client: WebClient, clock: Rc<dyn ClockSource>, server: SocketAddr) -> Self {
        Self {
            client,
            clock,
            server,
        }
    }
}

impl HostDirectory for HttpHostDirectory {
    fn hosts(&self) -> LocalBoxFuture<'static, HostsOutcome> {
        let this = self.clone();
        Box::pin(async move { this.fetch().await.unwrap_or(HostsOutcome::Unavailable) })
    }
}

impl HttpHostDirectory {
    async fn fetch(&self) -> Option<HostsOutcome> {
        let request = http::Request::get("/v1/hosts").body(empty_body()).ok()?;
        let deadline = self.clock.now() + LIST_TIMEOUT;
        let outcome = self
            .client
            .collect(self.server, request, MAX_LIST_BYTES, deadline)
            .await;
        let CollectOutcome::Response(parts, body) = outcome else {
            return None;
        };
        if !parts.status.is_success() {
            return None;
        }
        let text = BodyText::new(&body);
        let wire: RawHostsWire = serde_json::from_str(text.as_str()).ok()?;
        let hosts = decode_entries::<HostWire>(&text, &wire.hosts, "host");
        let hosts = hosts.into_iter().map(HostEntry::from);
        Some(HostsOutcome::Listed(hosts.collect()))
    }
}
