//! The platform's list of live and leaving hosts, which lags.

use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::LocalBoxFuture;
use net::web::{CollectOutcome, WebClient, empty_body};

use crate::wire::HostsWire;

/// Largest list of hosts in bytes.
const LIST_LIMIT: usize = 4_000_000;
/// Time in which the list must arrive.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// Host as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// Its name.
    pub host: HostName,
    /// Where its endpoint listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its fabric domain; only hosts with engines have one.
    pub fabric: Option<FabricName>,
    /// Plain service that it runs; only hosts without engines have one.
    pub service: Option<ServiceName>,
    /// Accelerators that it has.
    pub accelerators: u32,
    /// Whether it stays.
    pub presence: Presence,
}

/// Whether a listed host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Stays.
    Live,
    /// Is about to leave and takes no new work.
    Leaving,
}

/// End of a call for the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostsOutcome {
    /// The list as the platform had it.
    Listed(Vec<HostEntry>),
    /// The platform gave no answer.
    Unavailable,
}

/// Source of the list of hosts.
pub trait HostDirectory {
    /// Reads the list.
    fn hosts(&self) -> LocalBoxFuture<'static, HostsOutcome>;
}

/// List of hosts over HTTP.
#[derive(Clone)]
pub struct HttpHostDirectory {
    client: WebClient,
    clock: Rc<dyn ClockSource>,
    server: SocketAddr,
}

impl HttpHostDirectory {
    /// Directory at the platform's address.
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
            .collect(self.server, request, LIST_LIMIT, deadline)
            .await;
        let CollectOutcome::Response(parts, body) = outcome else {
            return None;
        };
        if !parts.status.is_success() {
            return None;
        }
        let wire: HostsWire = serde_json::from_slice(&body).ok()?;
        let hosts = wire.hosts.into_iter().map(HostEntry::from).collect();
        Some(HostsOutcome::Listed(hosts))
    }
}
