//! How nodes split a service's slots without a coordinator.
//!
//! Every node hears the same reports of the targets and knows how many nodes
//! are live, and works out its part alone. Its even part is all slots over the
//! nodes. Where targets report free slots, a node may go beyond what it uses by
//! its part of them; where they report calls waiting, it gives up its part of
//! those. The two are mixed: the even part pulls nodes back to equal shares,
//! and the free part lets a busy node use what others leave. Without a report
//! the even part stands alone.
//!
//! The parts add up to all slots as long as reports are true. They are late, so
//! now and then a target gets more than its slots and queues the rest itself,
//! which its next report shows.

use crate::{LimitSettings, SlotUsage};

/// Slots that a node may use, before rounding.
pub fn split_slots(settings: &LimitSettings, view: SlotUsage) -> f64 {
    let nodes = view.nodes.max(1) as f64;
    let even = view.slots as f64 / nodes;
    if view.reported_slots == 0 {
        return even;
    }
    let used = view.reported_calls as f64 / view.reported_slots as f64;
    let free = view.slots as f64 * (1.0 - used) / nodes;
    let burst = if free > 0.0 {
        settings.burst_factor
    } else {
        1.0
    };
    let wanted = view.local_calls as f64 + burst * free;
    let mixed = settings.even_weight * even + (1.0 - settings.even_weight) * wanted;
    mixed.clamp(0.0, view.slots as f64)
}
