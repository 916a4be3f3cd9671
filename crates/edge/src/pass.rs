//! Attempts that a node carries for another one, which reaches no server.

use std::net::SocketAddr;

use base::prelude::*;
use notices::ServerRun;
use quarantine::CallSuspects;

/// Attempt that another node asks this one to carry.
#[derive(Clone, Debug)]
pub struct PassRequest {
    /// Number of the request within this process.
    pub call: CallId,
    /// Request ID that its client set, for logs.
    pub id: Arc<str>,
    /// Server that it is for.
    pub run: ServerRun,
    /// Requested host name.
    pub host: Arc<str>,
    /// Path of the URL.
    pub path: Arc<str>,
    /// Version of the configuration by which the other node accepted the request; `None` from a
    /// node of an older build, which can't be told that it was outdated.
    pub version: Option<u64>,
    /// Whether another attempt of the request may have run.
    pub is_repeat: bool,
    /// What a crash of the server is reported with; `None` from a node of an older build.
    pub suspects: Option<CarriedSuspects>,
}

/// What a node that carries an attempt reports if the server crashes.
///
/// It is what the other node would report of an attempt of its own, so that a crash has the same
/// identity whoever reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CarriedSuspects {
    /// The request and the parts of its prompt.
    pub suspects: CallSuspects,
    /// Epoch of the server's group.
    pub epoch: GroupEpoch,
    /// Whether the client has got an event of an earlier attempt.
    pub has_begun: bool,
}

/// Decision about an attempt that another node asks this one to carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PassDecision {
    /// Send it to the server.
    Send {
        /// Address of the server.
        address: SocketAddr,
        /// Whether this node's newer version of the configuration lets the request run once only.
        is_once_only: bool,
    },
    /// This node can't carry it; another one may.
    Refuse,
    /// The request or a part of its prompt is quarantined.
    Quarantined,
    /// No node must send it, as another attempt may have run and the request may run once only.
    Withhold,
}
