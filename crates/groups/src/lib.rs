//! Replica groups within fabric domains.
//!
//! One object in the store holds a fabric domain: its owner lease, its groups
//! and their members. Because a host is moved by one conditional update of that
//! object, it cannot belong to two groups. `commands` change a [`FabricState`]
//! and return [`FabricEffect`]s, `queries` only read; [`FabricWire`] is the
//! stored form of a [`FabricRecord`].
//!
//! Three rules keep the promises:
//!
//! - A group serves only while every member's own answer, counted from when it
//!   was asked, names the recorded run, group, epoch and rank. Any node can see
//!   that; no lease is needed.
//! - Only the holder of the lease gives orders, only before the deadline that
//!   the border checks right before sending, and only from a record known to be
//!   written. Where engines ignore the fencing token a new holder first waits
//!   until no older order can land, and trusts only answers asked for later.
//! - A host goes from one group to another only through a time in none, long
//!   enough that no older answer or order of it can still count.
//!
//! A node that hears fewer than half of the members listed as live may itself
//! be cut off. It takes no lease and lets its own lapse. After the loss of most
//! of a fabric domain, repair therefore waits until the list drops the hosts.

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
    FabricSummary, GroupFault, GroupHealth, GroupReadiness, GroupSpread, MemberFault, ReportTable,
    check_group, check_groups, leaving_members, spread_groups, stranded_hosts,
};
pub use settings::{DissolveRule, GroupSettings, SpareRule};
pub use state::{DesiredGroups, FabricState, HostEntry, HostStatus, TimedReport};
pub use wire::FabricWire;
