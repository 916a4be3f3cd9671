//! The system's own daemons: their entries in the store and their status.

use std::fmt;
use std::net::SocketAddr;

use base::prelude::*;
use futures_util::future::LocalBoxFuture;
use net::web::{CollectOutcome, WebClient, empty_body};
use serde::{Deserialize, Serialize};

use crate::status::StatusWire;

/// Path of the status page on a daemon's admin address.
pub const STATUS_PATH: &str = "/admin/status";
/// Maximum size of a status.
const MAX_STATUS_BYTES: usize = 4_000_000;

/// Kind of a daemon on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeRole {
    /// Serves the requests of callers.
    Gateway,
    /// Manages replica groups.
    Controller,
}

impl fmt::Display for NodeRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Gateway => "gateway",
            Self::Controller => "controller",
        })
    }
}

/// Entry of a daemon in the store, which it writes when it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeEntry {
    /// Node that runs the daemon.
    pub node: NodeName,
    /// Kind of the daemon.
    pub role: NodeRole,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Admin address, which serves the status page.
    pub admin: SocketAddr,
}

/// JSON form of a [`NodeRole`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RoleWire {
    /// Gateway.
    Gateway,
    /// Controller.
    Controller,
}

/// JSON form of a [`NodeEntry`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeWire {
    node: NodeName,
    role: RoleWire,
    failure_domain: DomainName,
    admin: SocketAddr,
}

impl NodeEntry {
    /// Decodes a stored entry; `None` if it is malformed.
    pub fn decode(value: &str) -> Option<Self> {
        let wire: NodeWire = serde_json::from_str(value).ok()?;
        Some(wire.into())
    }

    /// Encodes the entry for the store.
    pub fn encode(&self) -> Arc<str> {
        let wire = NodeWire::from(self.clone());
        let value =
            serde_json::to_string(&wire).expect("names and addresses can be encoded as JSON");
        Arc::from(value)
    }
}

impl From<NodeWire> for NodeEntry {
    fn from(wire: NodeWire) -> Self {
        Self {
            node: wire.node,
            role: wire.role.into(),
            domain: wire.failure_domain,
            admin: wire.admin,
        }
    }
}

impl From<NodeEntry> for NodeWire {
    fn from(entry: NodeEntry) -> Self {
        Self {
            node: entry.node,
            role: entry.role.into(),
            failure_domain: entry.domain,
            admin: entry.admin,
        }
    }
}

impl From<RoleWire> for NodeRole {
    fn from(wire: RoleWire) -> Self {
        match wire {
            RoleWire::Gateway => Self::Gateway,
            RoleWire::Controller => Self::Controller,
        }
    }
}

impl From<NodeRole> for RoleWire {
    fn from(role: NodeRole) -> Self {
        match role {
            NodeRole::Gateway => Self::Gateway,
            NodeRole::Controller => Self::Controller,
        }
    }
}

/// Outcome of a request for a daemon's status.
#[derive(Clone, Debug)]
pub enum StatusOutcome {
    /// The status that the daemon returned.
    Reported(Box<StatusWire>),
    /// No valid response was received.
    Silent,
}

/// Client of the status pages of daemons.
pub trait NodeClient {
    /// Requests the status of a daemon.
    fn status(
        &self,
        admin: SocketAddr,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, StatusOutcome>;
}

/// HTTP client of the daemons' status pages.
#[derive(Clone)]
pub struct HttpNodeClient {
    client: WebClient,
}

impl HttpNodeClient {
    /// Creates a client that uses the connections of `client`.
    pub fn new(client: WebClient) -> Self {
        Self { client }
    }

    async fn fetch(self, admin: SocketAddr, deadline: ClockTime) -> Option<StatusWire> {
        let request = http::Request::get(STATUS_PATH).body(empty_body()).ok()?;
        let outcome = self
            .client
            .collect(admin, request, MAX_STATUS_BYTES, deadline)
            .await;
        match outcome {
            CollectOutcome::Response(parts, body) if parts.status.is_success() => {
                serde_json::from_slice(&body).ok()
            }
            _ => None,
        }
    }
}

impl NodeClient for HttpNodeClient {
    fn status(
        &self,
        admin: SocketAddr,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, StatusOutcome> {
        let this = self.clone();
        Box::pin(async move {
            match this.fetch(admin, deadline).await {
                Some(status) => StatusOutcome::Reported(Box::new(status)),
                None => StatusOutcome::Silent,
            }
        })
    }
}
