//! Orders given, and how they ended.

use base::prelude::*;
use intent::EngineProfile;

use crate::loads::LoadLimits;
use crate::state::PendingOrder;
use crate::{MemberOrder, OrderOutcome, PlanEffect, PlannerState};

/// Time that a join takes where the model is still in memory.
const REJOIN_SPAN: Duration = Duration::from_millis(200);
/// Part of its usual time that a load takes before traffic starts.
const EARLY_LOAD_PART: f64 = 0.1;

/// Gives an order unless it is under way already or a load must wait.
pub(super) fn give(
    state: &mut PlannerState,
    to: &HostName,
    order: MemberOrder,
    engine: &EngineProfile,
    now: ClockTime,
) -> Option<PlanEffect> {
    let view = state.endpoints.get(to)?;
    if let Some(pending) = &view.pending {
        let is_open = pending.again_at.is_none_or(|at| at > now);
        let is_same = pending.order == order;
        if is_open && (is_same || pending.again_at.is_none()) {
            return None;
        }
    }
    if let Some(load) = load_span(state, to, &order, engine, now) {
        let is_early = now < state.settings.cold_start_until;
        let limits = LoadLimits {
            per_second: (!is_early).then_some(engine.loads_per_second),
            at_once: if is_early {
                usize::MAX
            } else {
                engine.max_concurrent_loads
            },
        };
        if !state.loads.is_loading(to, now) {
            if !state.loads.allows(now, limits) {
                return None;
            }
            state.loads.start(to.clone(), now, now + load);
        }
    }
    let view = state.endpoints.get_mut(to)?;
    view.pending = Some(PendingOrder {
        order: order.clone(),
        again_at: None,
    });
    Some(PlanEffect::Order {
        to: to.clone(),
        order,
    })
}

/// Time for which an order keeps the weight store busy, if it does.
fn load_span(
    state: &PlannerState,
    to: &HostName,
    order: &MemberOrder,
    engine: &EngineProfile,
    now: ClockTime,
) -> Option<Duration> {
    let (MemberOrder::Stage { model } | MemberOrder::Join { model, .. }) = order else {
        return None;
    };
    if state.endpoints.get(to)?.endpoint.staged.contains(model) {
        return None;
    }
    let load = engine.model(model)?.load;
    let is_early = now < state.settings.cold_start_until;
    Some(if is_early {
        load.mul_f64(EARLY_LOAD_PART)
    } else {
        load
    })
}

/// Takes in how an order ended.
pub fn record_order_outcome(
    state: &mut PlannerState,
    to: &HostName,
    order: &MemberOrder,
    outcome: OrderOutcome,
    engine: Option<&EngineProfile>,
    now: ClockTime,
) {
    let settings = state.settings.clone();
    let span = effect_span(state, to, order, engine, now);
    let Some(view) = state.endpoints.get_mut(to) else {
        return;
    };
    let again_at = match outcome {
        OrderOutcome::Begun | OrderOutcome::Holds => {
            if outcome == OrderOutcome::Begun {
                // Statements from before the order count as older from here on.
                view.endpoint.sequence += 1;
            }
            if let MemberOrder::Leave { .. } = order {
                view.endpoint.membership = None;
            }
            view.probe.due = view.probe.due.min(now + span);
            now + span + settings.effect_span
        }
        OrderOutcome::Unfit => {
            view.probe.due = view.probe.due.min(now);
            now + settings.refused_pause
        }
        OrderOutcome::Outdated => {
            if let MemberOrder::Join { epoch, .. } = order {
                view.refused_epoch = view.refused_epoch.max(Some(*epoch));
            }
            now + settings.refused_pause
        }
        OrderOutcome::Misdirected => {
            view.is_lost = true;
            now + settings.effect_span
        }
        OrderOutcome::NotSent | OrderOutcome::Unknown => {
            view.probe.due = view.probe.due.min(now);
            now
        }
    };
    if let Some(pending) = &mut view.pending
        && pending.order == *order
    {
        pending.again_at = Some(again_at);
    }
}

/// Time after which the effect of an order should show.
fn effect_span(
    state: &PlannerState,
    to: &HostName,
    order: &MemberOrder,
    engine: Option<&EngineProfile>,
    now: ClockTime,
) -> Duration {
    let Some(engine) = engine else {
        return REJOIN_SPAN;
    };
    match order {
        MemberOrder::Open { .. } => engine.open_delay,
        MemberOrder::Join { model, .. } => {
            let Some(view) = state.endpoints.get(to) else {
                return REJOIN_SPAN;
            };
            if view.last_model.as_ref() == Some(model) {
                return REJOIN_SPAN;
            }
            let warm = engine.model(model).map_or(REJOIN_SPAN, |model| model.warm);
            load_span(state, to, order, engine, now).unwrap_or(warm)
        }
        MemberOrder::Stage { .. } => {
            load_span(state, to, order, engine, now).unwrap_or(REJOIN_SPAN)
        }
        MemberOrder::Close { .. } | MemberOrder::Leave { .. } => REJOIN_SPAN,
    }
}
