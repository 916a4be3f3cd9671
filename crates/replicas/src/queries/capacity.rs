//! Requests a second that a group of a model carries.
//!
//! The capacity is measured. A profile's usual request is the mean over all models, so it would
//! overrate the groups of the model with the larger requests.

use crate::placement::DemandAverage;

/// Assumed ratio of a request's duration in a full batch to that of a request alone: half of a step
/// depends on the batch.
const FULL_BATCH_RATIO: f64 = 2.0;
/// Average of requests in flight below which their duration can't be estimated.
const MIN_IN_FLIGHT: f64 = 0.5;

/// Requests a second that a group carries, from what these groups carry now; `None` if they have
/// hardly any requests.
///
/// The requests in flight and the rate at which they end give their present duration. Groups with
/// all slots taken carry what they carry now.
pub(crate) fn measured_capacity(
    average: &DemandAverage,
    groups: usize,
    slots: usize,
) -> Option<f64> {
    let all_slots = (groups * slots) as f64;
    if groups == 0 || average.carried <= 0.0 || average.in_flight < MIN_IN_FLIGHT {
        return None;
    }
    let in_flight = average.in_flight.min(all_slots);
    let fill = in_flight / all_slots;
    let slowdown = FULL_BATCH_RATIO / (1.0 + (FULL_BATCH_RATIO - 1.0) * fill);
    Some(average.carried / fill / slowdown / groups as f64)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an estimate that promises more than a saturated group carries.
    #[test]
    fn a_saturated_group_carries_what_it_carries_now() {
        let average = |carried, in_flight| DemandAverage {
            carried,
            in_flight,
            ..DemandAverage::default()
        };
        assert_eq!(measured_capacity(&average(40.0, 90.0), 2, 17), Some(20.0));
        let half = measured_capacity(&average(20.0, 17.0), 2, 17).unwrap();
        assert!((half - 15.0).abs() < 1e-9, "{half}");
        assert_eq!(measured_capacity(&average(0.0, 0.0), 2, 17), None);
    }
}
