//! Types that almost every module uses.

pub use crate::{
    CallId, CallerName, ClockSource, ClockTime, DeploymentName, DomainName, DueTimer,
    EffectExecutor, EventHandler, FabricName, FencingToken, GroupEpoch, GroupName, HostIncarnation,
    HostName, IdempotencyKey, ModelName, NameError, NodeName, ObjectVersion, RegionName,
    SectionName, SectionRevision, ServiceName, TeamName, WorkspaceName, WriteNonce,
};
pub use std::sync::Arc;
pub use std::time::Duration;
