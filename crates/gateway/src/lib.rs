//! Gateway: accepts calls over HTTP and forwards them to endpoints.
//!
//! [`GatewayState`] is the decision state. `commands` apply events to it and
//! return [`GatewayEffect`]s, `queries` only read it, and [`GatewayLoop`] is the
//! event handler that the process's event loop runs. `border` does the I/O: its
//! tasks turn requests and frames into events and execute effects. No other
//! module depends on HTTP.

mod border;
mod call;
mod commands;
mod event;
mod handler;
mod items;
mod peers;
pub mod queries;
mod state;

pub use border::{GatewayAddresses, run};
pub use call::{
    AttemptEnd, AttemptNumber, CallArrival, CallKind, CallRefusal, CallStep, GroupGeneration,
    RefusalCause, RunState, SendOrder,
};
pub use event::{CallMeasure, GatewayEffect, GatewayEvent, GatewayQuery, GatewayReply};
pub use handler::GatewayLoop;
pub use peers::PeerEvent;
pub use queries::{GatewayStatus, GroupStatus};
pub use state::{GatewayState, GatewayTimes};
