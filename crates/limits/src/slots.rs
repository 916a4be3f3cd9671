//! Slot usage of a service.

/// Slots and calls of a service as known to one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotUsage {
    /// Number of slots of all targets that take new calls.
    pub slots: usize,
    /// Number of slots of those targets that have reported their load.
    pub reported_slots: usize,
    /// Number of running and waiting calls that these targets reported, of all nodes.
    pub reported_calls: usize,
    /// Number of running calls of this node.
    pub local_calls: usize,
    /// Number of live nodes, this one included.
    pub nodes: usize,
}
