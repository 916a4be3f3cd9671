//! Settings of routing.

use base::prelude::*;

/// Settings of routing.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSettings {
    /// Candidates drawn at random for each call.
    pub random_choices: usize,
    /// Candidates that the prompt's prefix hashes to.
    pub affinity_choices: usize,
    /// Blocks of the prompt that decide its affinity.
    pub affinity_blocks: usize,
    /// Time in which a report's weight falls to 1/e.
    pub load_fade: Duration,
    /// Cost of a fully used target against an idle one.
    pub load_cost: Duration,
    /// Cost of each call that must wait, over the target's slots.
    pub wait_cost: Duration,
    /// Scale of the random cost that keeps nodes from choosing alike, where a
    /// node has one slot of a target or less; smaller where it has more.
    pub jitter_cost: Duration,
    /// Cost of each block of the prompt that is not cached.
    pub block_cost: Duration,
    /// Assumed share of cached blocks where the cache's picture is unknown.
    pub unknown_share: f64,
    /// The same for a target that the prompt's prefix hashes to.
    pub affinity_share: f64,
    /// Blocks remembered for one target.
    pub block_limit: usize,
    /// How long a target that left is remembered as leaving.
    pub leaving_memory: Duration,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            random_choices: 2,
            affinity_choices: 2,
            affinity_blocks: 4,
            load_fade: Duration::from_secs(5),
            load_cost: Duration::from_millis(500),
            wait_cost: Duration::from_secs(2),
            jitter_cost: Duration::from_millis(30),
            block_cost: Duration::from_millis(2),
            unknown_share: 0.1,
            affinity_share: 0.5,
            block_limit: 8_192,
            leaving_memory: Duration::from_secs(600),
        }
    }
}
