//! Names, time and the event interfaces shared by every crate.
//!
//! Nothing here knows a socket, a codec or the system clock: time reaches the
//! decision code as a [`ClockTime`] argument, and whatever a decision wants
//! done leaves it as a value.

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
