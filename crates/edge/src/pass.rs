//! Attempts that a node carries for another one, which reaches no server.

use std::net::SocketAddr;

use base::prelude::*;
use notices::ServerRun;

/// Attempt that another node asks this one to carry.
#[derive(Clone, Debug)]
pub struct PassRequest {
    /// Number of the request within this process.
    pub call: CallId,
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
    /// No node must send it, as another attempt may have run and the request may run once only.
    Withhold,
}
