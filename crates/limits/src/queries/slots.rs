//! Split of a service's slots between nodes without a coordinator.
//!
//! Every node receives the same reports of the targets, knows the number of live
//! nodes, and computes its part independently. Its even part is the number of slots
//! divided by the number of nodes. Its demand is the number of its running calls
//! plus an equal part of the free slots that the targets report, or minus an equal
//! part of the calls that wait there. The result is a weighted mean of the two. The
//! even part moves nodes back to equal shares, and the demand lets a busy node use
//! slots that others leave free. Without a report only the even part counts.
//!
//! The parts add up to all slots if the reports are accurate. Reports lag behind, so
//! a target sometimes receives more calls than it has slots. It queues them, and its
//! next report includes them.

use crate::{LimitSettings, SlotUsage};

/// Slots that a node may use, before rounding.
pub fn split_slots(settings: &LimitSettings, usage: SlotUsage) -> f64 {
    let nodes = usage.nodes.max(1) as f64;
    let even = usage.slots as f64 / nodes;
    if usage.reported_slots == 0 {
        return even;
    }
    let used = usage.reported_calls as f64 / usage.reported_slots as f64;
    let free = usage.slots as f64 * (1.0 - used) / nodes;
    let burst = if free > 0.0 {
        settings.burst_factor
    } else {
        1.0
    };
    let demand = usage.local_calls as f64 + burst * free;
    let part = settings.even_weight * even + (1.0 - settings.even_weight) * demand;
    part.clamp(0.0, usage.slots as f64)
}
