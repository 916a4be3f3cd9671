//! Decision about a new request.

use base::prelude::*;
use intent::TokenCounts;

use super::retry::retry_delay;
use super::room::{reserved_rooms, rooms, total_room};
use super::shares::{fair_level, share_probability};
use crate::{
    AdmissionDecision, AdmissionInput, EngineEstimate, RefusalCause, RetryAdvice, WorkspaceDemand,
};

/// Shortest time over which arrivals are compared with the room. Messages between nodes take
/// some milliseconds even where counts are exchanged at once.
const MIN_COUNTS_AGE: Duration = Duration::from_millis(20);
/// Requests per slot of all groups from which they keep a reserve, and from which it is whole. A
/// reserve at any load refused 5 % of the requests of a simulated load of 0.8 with counts up to
/// 320 ms old.
const RESERVE_UTILIZATION: (f64, f64) = (0.9, 0.95);
/// The same for requests behind others. With the limits above, 86 % of the urgent requests of a
/// simulated overload were served in time.
const PRECEDED_RESERVE_UTILIZATION: (f64, f64) = (0.8, 0.9);
/// Least part of its predicted run that a request must have left before its deadline; answers are
/// often shorter than their limit.
const MIN_RUN_FRACTION: f64 = 0.7;

/// Decides about a new request.
///
/// Until the next counts arrive, the nodes can together fill the room of the present ones and
/// what requests that end leave, once. More urgent requests are expected to take their part
/// first, and the workspaces of equally urgent ones get at most a max-min fair share of the rest.
pub fn admit(estimate: &EngineEstimate, input: &AdmissionInput<'_>) -> AdmissionDecision {
    let input = AdmissionInput {
        counts_age: input.counts_age.max(MIN_COUNTS_AGE),
        ..*input
    };
    let offer = offer(estimate, &input);
    if input.admission_draw < offer.probability {
        return AdmissionDecision::Admit(offer.rooms);
    }
    AdmissionDecision::Refuse(
        offer.cause,
        RetryAdvice {
            predicted_wait: predicted_wait(estimate, &input),
            retry_delay: retry_delay(estimate, &input),
        },
    )
}

/// Whether a request would still run at its deadline, and take its slot in vain.
pub fn is_hopeless(
    estimate: &EngineEstimate,
    tokens: TokenCounts,
    deadline_left: Duration,
) -> bool {
    // The answer's tokens are an upper limit, which many clients set far too high.
    let run = estimate
        .duration(tokens)
        .min(estimate.duration(TokenCounts::default()));
    deadline_left < run.mul_f64(MIN_RUN_FRACTION)
}

/// What the groups offer to a request.
struct RoomOffer {
    probability: f64,
    rooms: Vec<f64>,
    /// Why the request is refused if it is.
    cause: RefusalCause,
}

fn offer(estimate: &EngineEstimate, input: &AdmissionInput<'_>) -> RoomOffer {
    let demand = input.demand;
    let cause = match input.rank.is_late {
        true => RefusalCause::NoHeadroom,
        false => RefusalCause::NoRoom,
    };
    let make = |probability: f64, rooms: Vec<f64>, cause| {
        let has_room = total_room(estimate, input, &rooms) > 0.0;
        RoomOffer {
            probability: if has_room { probability } else { 0.0 },
            rooms,
            cause,
        }
    };
    let supply = |rooms: &[f64]| {
        let per_second = total_room(estimate, input, rooms) / input.counts_age.as_secs_f64();
        (per_second - demand.more_urgent).max(0.0)
    };
    let level = |rooms: &[f64]| fair_level(demand, supply(rooms));
    let rooms = rooms(estimate, input);
    if is_hopeless(estimate, input.tokens, input.deadline_left) {
        return make(0.0, rooms, cause);
    }
    let fair = level(&rooms);
    let is_excess = demand.more_urgent + demand.equal() > completions(estimate, input);
    if fair.is_infinite() && !is_excess {
        return make(1.0, rooms, cause);
    }
    let is_within = |entry: &WorkspaceDemand| fair.is_finite() && entry.certain <= fair;
    if fair.is_infinite() || demand.by_workspace().all(is_within) {
        // No workspace certainly exceeds its share, so all requests get the same chance.
        let part = reserve_part(input, demand.more_urgent);
        let rooms = reserved_rooms(estimate, input, part, demand.more_urgent);
        let supply = supply(&rooms);
        let probability = (supply / demand.equal().max(f64::MIN_POSITIVE)).min(1.0);
        return make(probability, rooms, cause);
    }
    if is_within(&demand.own) {
        let rooms = reserved_rooms(estimate, input, 0.0, demand.more_urgent);
        return make(1.0, rooms, cause);
    }
    let within = demand.others.iter().filter(|other| is_within(other));
    let within: f64 = within.map(|other| other.rate).sum();
    let preceding = demand.more_urgent + within;
    let part = reserve_part(input, preceding);
    let rooms = reserved_rooms(estimate, input, part, preceding);
    let probability = share_probability(&demand.own, level(&rooms));
    let cause = match cause {
        RefusalCause::NoRoom if within > 0.0 => RefusalCause::OverShare,
        cause => cause,
    };
    make(probability, rooms, cause)
}

/// Part of the reserve that the groups keep, by the load of all of them.
///
/// A node's own rates show an excess by chance now and then; the counts of all nodes show whether
/// the groups are nearly full.
fn reserve_part(input: &AdmissionInput<'_>, preceding: f64) -> f64 {
    let slots: f64 = input.loads.iter().map(|load| load.slots).sum();
    let total: f64 = input.loads.iter().map(|load| load.total()).sum();
    let (start, full) = match preceding > 0.0 {
        true => PRECEDED_RESERVE_UTILIZATION,
        false => RESERVE_UTILIZATION,
    };
    ((total / slots - start) / (full - start)).clamp(0.0, 1.0)
}

/// Requests a second that all groups complete with full slots.
pub(super) fn completions(estimate: &EngineEstimate, input: &AdmissionInput<'_>) -> f64 {
    let slots = input.loads.iter().map(|load| load.slots).sum();
    estimate.completions_per_second(slots)
}

/// Wait for a slot at the group where it is shortest.
fn predicted_wait(estimate: &EngineEstimate, input: &AdmissionInput<'_>) -> Duration {
    let waits = input.loads.iter().map(|load| {
        let beyond = load.total() + 1.0 - load.slots;
        estimate.wait(beyond, load.slots)
    });
    waits.min().unwrap_or_default()
}
