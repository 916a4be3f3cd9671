//! Replica groups within fabric domains.
//!
//! One object in the store describes a fabric domain: its owner lease, its
//! groups and their members. A host is moved by one conditional update of that
//! object, so it cannot belong to two groups. `commands` change a
//! [`FabricState`] and return [`FabricEffect`]s, `queries` only read.
//! [`FabricWire`] is the stored form of a [`FabricRecord`].
//!
//! Three rules ensure that a host never serves in two groups:
//!
//! - A group serves only while every member has a valid report that names the
//!   recorded incarnation, group, epoch and rank. A report's validity counts from
//!   when it was requested. Every node can check this without the lease.
//! - Only the lease holder sends orders, only before a deadline that the border
//!   checks right before sending, and only according to a record known to be
//!   written. If engines ignore the fencing token, a new holder first waits until
//!   no earlier order can arrive, and trusts only reports requested after that.
//! - A host that moves between groups first belongs to none, long enough that no
//!   earlier report or order of it can still be valid.
//!
//! A node with valid reports of fewer than half of the members listed as live may
//! itself be partitioned. It acquires no lease and lets the one it holds expire.
//! After the loss of most of a fabric domain, repair therefore waits until the
//! platform's list no longer contains the lost hosts.

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
