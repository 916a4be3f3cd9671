//! Gateway: callers on one side, endpoints on the other.
//!
//! [`GatewayState`] decides. `commands` take in events and return
//! [`GatewayEffect`]s, `queries` only read, and [`GatewayLoop`] is the handler
//! that the process's loop runs. `border` holds the tasks that turn bytes into
//! events and carry effects out; nothing else here knows HTTP.

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
    AttemptEnd, AttemptPlace, CallArrival, CallKind, CallRefusal, CallStep, RefusalCause, RunState,
    SendOrder,
};
pub use event::{CallMeasure, GatewayAnswer, GatewayEffect, GatewayEvent, GatewayQuestion};
pub use handler::GatewayLoop;
pub use peers::PeerEvent;
pub use queries::{GatewayStatus, GroupStatus};
pub use state::{GatewayState, GatewayTimes};
