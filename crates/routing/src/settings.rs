//! Settings for routing.

use base::prelude::*;

/// Settings for routing.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSettings {
    /// Number of random candidates for each call.
    pub random_choices: usize,
    /// Number of candidates that the prefix of the prompt hashes to.
    pub affinity_choices: usize,
    /// Number of leading blocks that form the prefix for affinity.
    pub affinity_blocks: usize,
    /// Time in which the weight of a report decays to 1/e.
    pub load_decay: Duration,
    /// Cost difference between a fully used target and an idle one.
    pub load_cost: Duration,
    /// Cost of each call that has to wait, divided by the target's slots.
    pub wait_cost: Duration,
    /// Scale of the random cost that keeps nodes from choosing the same target; divided
    /// by the node's part of the target's slots if that is more than one.
    pub jitter_cost: Duration,
    /// Cost of each block of the prompt that is not cached.
    pub block_cost: Duration,
    /// Assumed share of cached blocks among those whose state is unknown.
    pub unknown_share: f64,
    /// The same share for a target that the prefix of the prompt hashes to.
    pub affinity_share: f64,
    /// Largest number of known blocks of one target; beyond it the known contents are
    /// reset.
    pub block_limit: usize,
    /// Time for which an absent target stays marked as leaving.
    pub leaving_retention: Duration,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            random_choices: 2,
            affinity_choices: 2,
            affinity_blocks: 4,
            load_decay: Duration::from_secs(5),
            load_cost: Duration::from_millis(500),
            wait_cost: Duration::from_secs(2),
            jitter_cost: Duration::from_millis(30),
            block_cost: Duration::from_millis(2),
            unknown_share: 0.1,
            affinity_share: 0.5,
            block_limit: 8_192,
            leaving_retention: Duration::from_secs(600),
        }
    }
}
