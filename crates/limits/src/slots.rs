//! One node's part of a service's slots.

/// Slots and calls of a service as one node knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotUsage {
    /// Slots of all targets that take new calls.
    pub slots: usize,
    /// Slots of those targets that have reported their load.
    pub reported_slots: usize,
    /// Calls that they reported, running or waiting, of all nodes.
    pub reported_calls: usize,
    /// Calls of this node that are running.
    pub local_calls: usize,
    /// Live nodes, this one included.
    pub nodes: usize,
}
