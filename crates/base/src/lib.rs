//! Names, numbers, time and the interfaces of the event loop, shared by all crates.
//!
//! Nothing here depends on sockets, codecs or the system clock: the decision code
//! receives the time as a [`ClockTime`] argument and returns its effects as
//! values.

mod clock;
mod event;
mod name;
mod number;
mod timer;

pub mod prelude;

pub use clock::{ClockSource, ClockTime, ManualClock};
pub use event::{EffectExecutor, EventHandler};
pub use name::{
    CallerName, DeploymentName, DomainName, FabricName, GroupName, HostName, IdempotencyKey,
    ModelName, NameError, NodeName, RegionName, SectionName, ServiceName, TeamName, WorkspaceName,
};
pub use number::{
    CallId, FencingToken, GroupEpoch, HostIncarnation, ObjectVersion, SectionRevision, WriteNonce,
};
pub use timer::DueTimer;
