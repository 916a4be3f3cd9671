//! Replica groups within fabric domains.
//!
//! One object in the store holds a fabric domain: its owner lease, its groups
//! and their members. Because a host is moved by one conditional update of that
//! object, it cannot belong to two groups. `commands` change a
//! [`FabricRecord`], `queries` read it; [`FabricWire`] is its stored form.

mod model;
mod wire;

pub use model::{
    FabricRecord, GroupPhase, GroupRecord, HostAssignment, HostReport, LoadReport, MemberPhase,
    MemberRecord, OwnerLease,
};
pub use wire::FabricWire;
