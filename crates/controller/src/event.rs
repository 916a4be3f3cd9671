//! Events and effects of the controller's event loop.

use base::prelude::*;
use groups::FabricEffect;
use interface::FabricRead;
use net::ReplyId;
use store::UpdateOutcome;
use watch::{WatchEffect, WatchEvent};

use crate::ControllerStatus;

/// Input of the controller's event loop.
#[derive(Debug)]
pub enum ControllerEvent {
    /// A read of the platform or a poll of a host ended.
    Watch(WatchEvent),
    /// A read of a single fabric domain completed.
    FabricRead {
        /// Fabric domain that was read.
        fabric: FabricName,
        /// Its result; `None` if the store did not respond or the record could not be
        /// decoded.
        read: Option<FabricRead>,
    },
    /// A write of a fabric domain completed.
    FabricWritten {
        /// Fabric domain that was written.
        fabric: FabricName,
        /// Nonce of the write.
        nonce: WriteNonce,
        /// Its outcome.
        outcome: UpdateOutcome,
    },
    /// A border task requests the status.
    StatusRequested {
        /// Identifies the pending reply.
        id: ReplyId,
    },
    /// The process received a shutdown signal.
    ShutdownRequested,
}

impl From<WatchEvent> for ControllerEvent {
    fn from(event: WatchEvent) -> Self {
        Self::Watch(event)
    }
}

/// Output of the controller's event loop, executed by the border.
#[derive(Debug)]
pub enum ControllerEffect {
    /// Start a read of the platform or a poll of a host.
    Watch(WatchEffect),
    /// Execute an effect of a fabric domain's decision state.
    Fabric(FabricEffect),
    /// Reply to a status request.
    Reply {
        /// Identifies the pending reply.
        id: ReplyId,
        /// Status to send.
        status: Box<ControllerStatus>,
    },
    /// Remove this daemon's entry from the store.
    Deregister,
    /// End the event loop.
    Finish,
}
