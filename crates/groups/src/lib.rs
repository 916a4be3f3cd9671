//! Replica groups within fabric domains.
//!
//! One object in the store holds a fabric domain: its owner lease, its groups
//! and their members. Because a host is moved by one conditional update of that
//! object, it cannot belong to two groups. `commands` change a [`FabricState`]
//! and return [`FabricEffect`]s, `queries` only read; [`FabricWire`] is the
//! stored form of a [`FabricRecord`].

mod commands;
mod model;
mod order;
mod queries;
mod settings;
mod state;
mod wire;

pub use commands::RecordOutcome;
pub use model::{
    FabricRecord, GroupPhase, GroupRecord, HostAssignment, HostReport, LoadReport, MemberPhase,
    MemberRecord, OwnerLease, StandbyRecord, StragglerRecord,
};
pub use order::{FabricEffect, GroupOrder, HostOrder};
pub use queries::{
    FabricShape, GroupFault, GroupHealth, GroupSpread, GroupVerdict, MemberFault, ReportTable,
    explain_group, leaving_members, serving_groups, spread_groups, stranded_hosts,
};
pub use settings::{DissolveRule, GroupSettings, SpareRule};
pub use state::{FabricState, FabricTarget, HostEntry, HostStanding, TimedReport};
pub use wire::FabricWire;
