//! What the controller hears and what it wants done.

use base::prelude::*;
use groups::FabricEffect;
use interface::FabricRead;
use net::ReplyId;
use store::UpdateOutcome;
use watch::{WatchEffect, WatchEvent};

use crate::ControllerStatus;

/// What the controller hears.
#[derive(Debug)]
pub enum ControllerEvent {
    /// Something was read of the platform or of a host.
    Watch(WatchEvent),
    /// One fabric domain was read.
    FabricRead {
        /// The fabric domain.
        fabric: FabricName,
        /// How the read ended.
        read: Option<FabricRead>,
    },
    /// A fabric domain was written.
    FabricWritten {
        /// The fabric domain.
        fabric: FabricName,
        /// Mark of the write.
        nonce: WriteNonce,
        /// How the write ended.
        outcome: UpdateOutcome,
    },
    /// Somebody asks how the controller is.
    StatusAsked {
        /// Number of the question.
        ask: ReplyId,
    },
    /// The process was told to stop.
    StopRequested,
}

impl From<WatchEvent> for ControllerEvent {
    fn from(event: WatchEvent) -> Self {
        Self::Watch(event)
    }
}

/// What the controller wants done.
#[derive(Debug)]
pub enum ControllerEffect {
    /// Read something of the platform or of a host.
    Watch(WatchEffect),
    /// Do what the decisions on a fabric domain want.
    Fabric(FabricEffect),
    /// Answer a question.
    Tell {
        /// Number of the question.
        ask: ReplyId,
        /// The answer.
        status: Box<ControllerStatus>,
    },
    /// Take this daemon's entry in the store back.
    Withdraw,
    /// End the process.
    Finish,
}
