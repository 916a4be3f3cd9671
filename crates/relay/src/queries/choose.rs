//! Which place takes a request.

use base::prelude::*;

use crate::state::CallState;
use crate::{Place, RefusalReason, RelayState};

/// Place with the least load for a request.
///
/// Places that failed lately come last; those that were tried already come
/// only if nothing else is left and nothing has run.
pub(crate) fn choose_place<'a>(
    state: &'a RelayState,
    call: &CallState,
    now: ClockTime,
) -> Result<&'a Place, RefusalReason> {
    let arrival = &call.arrival;
    let fitting: Vec<_> = state
        .places
        .values()
        .filter(|place| place.service == arrival.service)
        .filter(|place| place.model.is_none() || place.model == arrival.model)
        .filter(|place| !call.tried.contains(&place.id))
        .collect();
    if fitting.is_empty() {
        return Err(RefusalReason::NoPlace);
    }
    let turn = state.turn as usize % fitting.len();
    let ranked = fitting.iter().enumerate().filter_map(|(index, place)| {
        let load = state.loads.get(&place.id);
        let total = load.map_or(0, |load| load.total(now));
        let fill = f64::from(total) / place.slots.max(1) as f64;
        let limit = if place.model.is_some() {
            state.settings.engine_fill_limit
        } else {
            state.settings.plain_fill_limit
        };
        if fill >= limit {
            return None;
        }
        let is_avoided = load.is_some_and(|load| load.avoid_until > now);
        let far = if place.zone == state.zone {
            0.0
        } else {
            state.settings.far_penalty
        };
        let order = (index + fitting.len() - turn) % fitting.len();
        Some((is_avoided, fill + far, order, *place))
    });
    ranked
        .min_by(|a, b| {
            let by_fill = a.0.cmp(&b.0).then(a.1.total_cmp(&b.1));
            by_fill.then(a.2.cmp(&b.2))
        })
        .map(|(_, _, _, place)| place)
        .ok_or(RefusalReason::Overload)
}
