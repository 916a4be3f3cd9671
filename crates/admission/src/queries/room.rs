//! Room at the groups that can run a request.

use base::prelude::*;

use crate::{AdmissionInput, EngineEstimate, EngineLoad};

/// Requests per slot up to which requests that already run elsewhere are sent to a group.
const MAX_RESUMED_UTILIZATION: f64 = 1.25;
/// Largest number of requests that wait for a slot, per slot.
const MAX_WAITING: f64 = 0.2;
/// Fraction of the time left that the predicted wait may use. Ends of requests are random, and
/// the time to the first event varies by up to a fifth around its median.
const WAIT_FRACTION: f64 = 0.2;
/// Standard deviations of preceding arrivals for which room is kept. With 1.0 the simulated
/// overload of `relay/tests/suite/overload.rs` served 91 to 92 % of the urgent requests in time,
/// with 1.5 92 to 94 %.
const PRECEDING_DEVIATIONS: f64 = 1.5;

/// Whether a group is sent a request that already runs elsewhere.
pub fn may_resume(load: &EngineLoad) -> bool {
    load.total() < load.slots * MAX_RESUMED_UTILIZATION
}

/// Room at each group for requests of an input's rank.
pub(super) fn rooms(estimate: &EngineEstimate, input: &AdmissionInput<'_>) -> Vec<f64> {
    let rooms = input.loads.iter().map(|load| room(estimate, input, load));
    rooms.collect()
}

/// The same under an excess of demand, when each group keeps some room free.
///
/// The nodes don't know which group the others choose, and requests end at random times. So the
/// change of a group's load since it was counted varies by the root of its expected numbers of
/// arrivals and ends, of which a part counts here. Arrivals with a precedence come at a rate.
pub(super) fn reserved_rooms(
    estimate: &EngineEstimate,
    input: &AdmissionInput<'_>,
    part: f64,
    preceding: f64,
) -> Vec<f64> {
    let age = input.counts_age.as_secs_f64();
    let slots: f64 = input.loads.iter().map(|load| load.slots).sum();
    let rooms = input.loads.iter().map(|load| {
        let ends = estimate.completions_per_second(load.slots) * age;
        let preceding = preceding * age * load.slots / slots;
        let reserve = part * (2.0 * ends).sqrt() + PRECEDING_DEVIATIONS * preceding.sqrt();
        (room(estimate, input, load) - reserve).max(0.0)
    });
    rooms.collect()
}

/// Sum of the groups' rooms; late requests only get what those in time leave.
pub(super) fn total_room(
    estimate: &EngineEstimate,
    input: &AdmissionInput<'_>,
    rooms: &[f64],
) -> f64 {
    let open: f64 = rooms.iter().sum();
    if input.rank.is_late {
        open.min(headroom(estimate, input))
    } else {
        open
    }
}

/// Time that a request may wait for a slot and still be answered within the objective.
pub(super) fn wait_limit(estimate: &EngineEstimate, input: &AdmissionInput<'_>) -> Duration {
    if !estimate.has_offset() {
        // Without the engines' fixed time the prediction is too optimistic.
        return Duration::ZERO;
    }
    let first_event = estimate.first_event(input.tokens, f64::INFINITY);
    input.objective_left.saturating_sub(first_event)
}

/// Requests that a group can take by now without a late answer, if the counts are of some time
/// ago and its requests went on ending since.
fn room(estimate: &EngineEstimate, input: &AdmissionInput<'_>, load: &EngineLoad) -> f64 {
    let waiting = if input.rank.is_late {
        0.0
    } else {
        waiting_limit(estimate, input, load)
    };
    let ends = ends(estimate, input, load.total().min(load.slots));
    (load.slots + waiting + ends - load.total()).max(0.0)
}

/// Number of requests that may wait for a slot at a group.
fn waiting_limit(estimate: &EngineEstimate, input: &AdmissionInput<'_>, load: &EngineLoad) -> f64 {
    let wait = wait_limit(estimate, input).as_secs_f64() * WAIT_FRACTION;
    let waiting = wait * estimate.completions_per_second(load.slots);
    waiting.min(load.slots * MAX_WAITING)
}

/// How many of the requests that were running have ended since they were counted.
fn ends(estimate: &EngineEstimate, input: &AdmissionInput<'_>, running: f64) -> f64 {
    estimate.completions_per_second(running) * input.counts_age.as_secs_f64()
}

/// Slots that requests in time leave free while a late request runs.
fn headroom(estimate: &EngineEstimate, input: &AdmissionInput<'_>) -> f64 {
    let run = estimate.duration(input.tokens).as_secs_f64();
    let arrivals = input.demand.in_time * run;
    // Arrivals vary by chance by about the root of their number.
    let expected = arrivals + arrivals.sqrt();
    let sum = |count: fn(&EngineLoad) -> f64| input.loads.iter().map(count).sum::<f64>();
    let taken = sum(|load| load.in_time).max(expected);
    let late = sum(|load| load.late);
    (sum(|load| load.slots) - taken - late + ends(estimate, input, late)).max(0.0)
}
