//! Spreads requests over targets whose load is only known from some time ago.
//!
//! If every node sent its requests to the target with the lowest count, that target would
//! get the requests of all nodes until the next counts arrive. So each node assumes that
//! all of them together fill the targets up to a common level in that time, while the
//! targets finish a share of their requests, and picks a target at random in proportion to
//! what it lacks to that level. With current counts this is the target with the lowest
//! cost; the older they are, the more targets share the requests.

use base::prelude::*;

/// Time that a request takes on average, to estimate the arrivals from the requests in
/// flight.
const MEAN_CALL_DURATION: Duration = Duration::from_secs(1);

/// Target that can be chosen.
#[derive(Clone, Copy)]
pub(super) struct SpreadOption {
    /// Load per slot, with penalties.
    pub cost: f64,
    /// Slots.
    pub capacity: f64,
    /// Requests in flight.
    pub load: f64,
}

/// Index of a random option; `draw` is the number of the draw in the node's random sequence.
pub(super) fn choose_spread(options: &[SpreadOption], age: Duration, draw: u64) -> Option<usize> {
    let in_flight: f64 = options.iter().map(|option| option.load).sum();
    let elapsed = (age.as_secs_f64() / MEAN_CALL_DURATION.as_secs_f64()).min(1.0);
    let arrivals = 1.0 + in_flight * elapsed;
    let present: Vec<_> = options
        .iter()
        .map(|option| SpreadOption {
            cost: option.cost * (1.0 - elapsed),
            ..*option
        })
        .collect();
    let level = fill_level(&present, arrivals);
    let share = |option: &SpreadOption| (level - option.cost).max(0.0) * option.capacity;
    let total: f64 = present.iter().map(share).sum();
    let mut left = unit_random(draw) * total;
    let mut chosen = None;
    for (index, option) in present.iter().enumerate() {
        let share = share(option);
        if share <= 0.0 {
            continue;
        }
        chosen = Some(index);
        left -= share;
        if left < 0.0 {
            break;
        }
    }
    chosen
}

/// Cost up to which this number of requests fills the options, the cheapest first.
fn fill_level(options: &[SpreadOption], requests: f64) -> f64 {
    let mut by_cost: Vec<_> = options.iter().collect();
    by_cost.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    // The level at which the options so far hold the requests, if no further one is reached.
    let (mut capacity, mut weighted_cost, mut level) = (0.0, 0.0, 0.0);
    for option in by_cost {
        if capacity > 0.0 && option.cost >= level {
            break;
        }
        capacity += option.capacity;
        weighted_cost += option.capacity * option.cost;
        level = (requests + weighted_cost) / capacity;
    }
    level
}

/// Random number from 0 to 1 by a hash of the draw (splitmix64).
pub(super) fn unit_random(draw: u64) -> f64 {
    let mut mixed = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^= mixed >> 31;
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}
