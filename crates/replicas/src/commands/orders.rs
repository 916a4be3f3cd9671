//! Orders to endpoints and their outcomes.

use base::prelude::*;
use intent::EngineProfile;

use crate::loads::LoadLimits;
use crate::state::PendingOrder;
use crate::{MemberOrder, MemberPhase, OrderOutcome, PlanEffect, PlannerState};

/// Duration of a join if the endpoint still has the model in memory.
const REJOIN_DURATION: Duration = Duration::from_millis(200);
/// Fraction of the usual load time that a load takes before traffic starts.
const COLD_START_LOAD_FRACTION: f64 = 0.1;

/// Issues an order, unless one is already in flight or its load must wait.
pub(super) fn issue(
    state: &mut PlannerState,
    to: &HostName,
    order: MemberOrder,
    engine: &EngineProfile,
    now: ClockTime,
) -> Option<PlanEffect> {
    let view = state.endpoints.get(to)?;
    if let Some(pending) = &view.pending {
        let is_waiting = pending.retry_at.is_none_or(|at| at > now);
        let is_same = pending.order == order;
        if is_waiting && (is_same || pending.retry_at.is_none()) {
            return None;
        }
    }
    if let Some(load) = load_duration(state, to, &order, engine, now) {
        let is_cold_start = now < state.settings.cold_start_until;
        let limits = LoadLimits {
            max_starts_per_second: (!is_cold_start).then_some(engine.loads_per_second),
            max_concurrent: if is_cold_start {
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
        sent_sequence: view.endpoint.sequence,
        retry_at: None,
    });
    Some(PlanEffect::Order {
        to: to.clone(),
        order,
    })
}

/// Time for which an order loads from the weight store; `None` if it doesn't.
fn load_duration(
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
    let load = engine.model(model)?.load_time;
    let is_cold_start = now < state.settings.cold_start_until;
    Some(if is_cold_start {
        load.mul_f64(COLD_START_LOAD_FRACTION)
    } else {
        load
    })
}

/// Records the outcome of an order.
pub fn record_order_outcome(
    state: &mut PlannerState,
    to: &HostName,
    order: &MemberOrder,
    outcome: OrderOutcome,
    engine: Option<&EngineProfile>,
    now: ClockTime,
) {
    let settings = state.settings.clone();
    let delay = effect_delay(state, to, order, engine, now);
    let Some(view) = state.endpoints.get_mut(to) else {
        return;
    };
    let retry_at = match outcome {
        OrderOutcome::Begun | OrderOutcome::Holds => {
            if outcome == OrderOutcome::Begun {
                // State from before the order now counts as outdated. State from after it may have
                // arrived before the response, and doesn't.
                let pending = view.pending.as_ref().filter(|sent| sent.order == *order);
                let sent_sequence = pending.map(|sent| sent.sent_sequence);
                let least = sent_sequence.map_or(0, |sequence| sequence.saturating_add(1));
                view.endpoint.sequence = view.endpoint.sequence.max(least);
            }
            match (order, &mut view.endpoint.membership) {
                (MemberOrder::Leave { .. }, membership) => *membership = None,
                (MemberOrder::Close { group, epoch }, Some(membership))
                    if membership.phase == MemberPhase::Open
                        && (&membership.group, membership.epoch) == (group, *epoch) =>
                {
                    membership.phase = MemberPhase::Closing;
                }
                _ => {}
            }
            view.probe.due = view.probe.due.min(now + delay);
            now + delay + settings.effect_timeout
        }
        OrderOutcome::Unfit => {
            view.probe.due = view.probe.due.min(now);
            now + settings.rejected_retry_delay
        }
        OrderOutcome::Outdated => {
            if let MemberOrder::Join { epoch, .. } = order {
                view.rejected_epoch = view.rejected_epoch.max(Some(*epoch));
            }
            now + settings.rejected_retry_delay
        }
        OrderOutcome::Misdirected => {
            view.is_lost = true;
            now + settings.effect_timeout
        }
        OrderOutcome::NotSent | OrderOutcome::Unknown => {
            view.probe.due = view.probe.due.min(now);
            now
        }
    };
    if let Some(pending) = &mut view.pending
        && pending.order == *order
    {
        pending.retry_at = Some(retry_at);
    }
}

/// Time after which the effect of an order should be visible.
fn effect_delay(
    state: &PlannerState,
    to: &HostName,
    order: &MemberOrder,
    engine: Option<&EngineProfile>,
    now: ClockTime,
) -> Duration {
    let Some(engine) = engine else {
        return REJOIN_DURATION;
    };
    match order {
        MemberOrder::Open { .. } => engine.open_delay,
        MemberOrder::Join { model, .. } => {
            let Some(view) = state.endpoints.get(to) else {
                return REJOIN_DURATION;
            };
            if view.resident_model.as_ref() == Some(model) {
                return REJOIN_DURATION;
            }
            let warm = engine
                .model(model)
                .map_or(REJOIN_DURATION, |model| model.warm_load_time);
            load_duration(state, to, order, engine, now).unwrap_or(warm)
        }
        MemberOrder::Stage { .. } => {
            load_duration(state, to, order, engine, now).unwrap_or(REJOIN_DURATION)
        }
        MemberOrder::Close { .. } | MemberOrder::Leave { .. } => REJOIN_DURATION,
    }
}
