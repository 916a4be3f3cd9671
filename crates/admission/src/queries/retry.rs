//! Delay after which a refused client may retry.

use base::prelude::*;

use super::admit::completions;
use super::room::wait_limit;
use super::shares::{fair_level, share_probability};
use crate::{AdmissionInput, EngineEstimate};

/// Shortest delay; a client that returns earlier finds the same counts.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// Part of the time left to a client's deadline that a delay may use, so that it can retry twice.
const MAX_DEADLINE_FRACTION: f64 = 1.0 / 3.0;
/// Time whose excess demand has to be served before a refused request.
const EXCESS_TIME: Duration = Duration::from_secs(1);
/// Share of the completions that is assumed to be left at least, so that delays stay finite.
const MIN_SUPPLY_SHARE: f64 = 0.01;

/// Delay until room is expected, spread by a random draw.
///
/// A client that can still be answered within its objective returns before that is too late only
/// if room is expected by then. Otherwise it would compete with new requests in vain, so it
/// returns after the objective.
pub(super) fn retry_delay(estimate: &EngineEstimate, input: &AdmissionInput<'_>) -> Duration {
    let longest = input.deadline_left.mul_f64(MAX_DEADLINE_FRACTION);
    let longest = longest.max(MIN_DELAY);
    let expected = expected_delay(estimate, input);
    let in_time = wait_limit(estimate, input);
    let delay = if !input.rank.is_late && expected.max(MIN_DELAY) <= in_time {
        let earliest = expected.max(MIN_DELAY);
        earliest + (in_time - earliest).mul_f64(input.delay_draw)
    } else {
        let delay = expected.mul_f64(0.5 + input.delay_draw);
        let after_objective = match input.rank.is_late {
            true => Duration::ZERO,
            false => input.objective_left,
        };
        // The spread also keeps clients apart that wait for the end of the same objective.
        delay.max(after_objective.mul_f64(1.0 + input.delay_draw))
    };
    delay.clamp(MIN_DELAY, longest)
}

/// Time in which the groups serve the excess: what has arrived beyond what they complete, and
/// what is in flight beyond their slots.
fn expected_delay(estimate: &EngineEstimate, input: &AdmissionInput<'_>) -> Duration {
    let completions = completions(estimate, input);
    let demand = input.demand;
    let before = match input.rank.is_late {
        true => demand.more_urgent + demand.in_time,
        false => demand.more_urgent,
    };
    let least = completions * MIN_SUPPLY_SHARE;
    let supply = (completions - before).max(least);
    let own = demand.own;
    let level = fair_level(demand, supply);
    let own_supply = (own.rate * share_probability(&own, level)).max(least);
    let excess = (own.rate - own_supply).max(0.0) * EXCESS_TIME.as_secs_f64();
    let beyond = input.loads.iter().map(|load| load.total() - load.slots);
    let beyond: f64 = beyond.map(|count| count.max(0.0)).sum();
    let seconds = (excess / own_supply).max(beyond / supply);
    Duration::from_secs_f64(seconds.min(60.0))
}
