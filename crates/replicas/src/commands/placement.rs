//! Follows the demand: keeps its averages and moves a fabric domain to another model.

use std::collections::BTreeSet;

use base::prelude::*;
use intent::{EngineProfile, Service};

use crate::placement::{
    BegunMove, DemandAverage, DomainMove, LoadFigures, ModelDemand, OpenLoan, SpareLoan,
};
use crate::queries::{
    PLACEMENT_HORIZON, PlacementInput, choose_loan, choose_move, is_in_need, is_short, is_spared,
    is_usable, placement_input,
};
use crate::{GroupPhase, PlannerState};

/// Time constant of the averages.
const AVERAGING_TIME: Duration = Duration::from_secs(10);
/// Largest ratio of demand to capacity that enters the averages. Otherwise a single burst of a
/// hundred times the usual rate would keep the average above the capacity for a minute.
const MAX_OVERLOAD: f64 = 3.0;
/// Time for which the latest demand is within the capacity after which a shortage is over, although
/// the average still holds it. The rates vary at random for shorter times.
const COVERED_TIME: Duration = Duration::from_secs(2);
/// Time without a measurement after which the averages start anew.
const MAX_MEASUREMENT_GAP: Duration = Duration::from_secs(5);
/// Time that a move may take beyond three times its expected duration: the groups close, and other
/// loads may come first.
const MOVE_GRACE: Duration = Duration::from_secs(40);

/// Change of a move.
#[derive(Clone, Debug, PartialEq)]
pub enum MoveStep {
    /// A domain changes its model.
    Begun(DomainMove),
    /// The groups of its new model serve.
    Completed(DomainMove),
    /// Surplus spares of a domain load another model.
    Lent(SpareLoan),
    /// They are the domain's spares again.
    Returned(SpareLoan),
    /// They don't serve after much longer than expected; the domain keeps its new model.
    Overdue(DomainMove),
}

/// Forgets the demand, the moves and the home models that this node has assigned.
///
/// Another owner may have moved a domain since, so its model follows from what its endpoints run.
pub(crate) fn forget_placement(state: &mut PlannerState) {
    state.placement = Default::default();
    state.homes.clear();
}

/// Records the present demand for a service's models; only the owner does, at each run.
pub fn record_demand(
    state: &mut PlannerState,
    service: &Service,
    demands: &[ModelDemand],
    now: ClockTime,
) {
    let Some(engine) = service.engine.as_ref().filter(|of| of.models.len() > 1) else {
        return;
    };
    let before = placement_input(state, service, engine);
    for model in &before.models {
        let key = (service.name.clone(), model.model.clone());
        let figures = before.figures(model);
        let capacity = figures.map_or(0.0, |figures| figures.capacity);
        let limit = if capacity > 0.0 {
            capacity * MAX_OVERLOAD
        } else {
            f64::MAX
        };
        let measured = demands
            .iter()
            .find(|of| of.model == model.model && of.service == service.name);
        let average = state.placement.averages.entry(key).or_default();
        record_measurement(average, measured, limit, model.slots as f64, now);
    }
    let input = placement_input(state, service, engine);
    for model in &input.models {
        let key = (service.name.clone(), model.model.clone());
        if let Some(average) = state.placement.averages.get_mut(&key) {
            record_shortage(average, input.figures(model), now);
        }
    }
}

/// Records since when the demand for a model has exceeded what its groups carry, if it does.
fn record_shortage(average: &mut DemandAverage, figures: Option<LoadFigures>, now: ClockTime) {
    let is_covered = figures.is_none_or(|figures| average.latest <= figures.capacity);
    average.covered_since = match is_covered {
        true => Some(average.covered_since.unwrap_or(now)),
        false => None,
    };
    let is_over = (average.covered_since).is_some_and(|since| now.since(since) >= COVERED_TIME);
    average.short_since = match figures.is_some_and(is_short) && !is_over {
        true => Some(average.short_since.unwrap_or(now)),
        false => None,
    };
}

fn record_measurement(
    average: &mut DemandAverage,
    measured: Option<&ModelDemand>,
    limit: f64,
    slots: f64,
    now: ClockTime,
) {
    let elapsed = now.since(average.updated_at);
    if elapsed > MAX_MEASUREMENT_GAP {
        *average = DemandAverage {
            updated_at: now,
            ..DemandAverage::default()
        };
        return;
    }
    let weight = 1.0 - (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
    let (arrivals, returns, refusals, in_flight) = measured.map_or((0.0, 0.0, 0.0, 0.0), |of| {
        (of.arrivals, of.returns, of.refusals, of.in_flight)
    });
    let latest = (arrivals - returns).max(0.0);
    let carried = (arrivals - refusals).max(0.0);
    average.demand += (latest.min(limit) - average.demand) * weight;
    average.carried += (carried - average.carried) * weight;
    // Requests that wait for a slot say nothing about the duration of those that run.
    average.in_flight += (in_flight.min(slots) - average.in_flight) * weight;
    average.latest = latest;
    average.priority = measured.and_then(|of| of.priority);
    average.updated_at = now;
}

/// Decides whether a fabric domain of a service changes its model, and follows a move under way.
///
/// The change takes effect with the next planning pass.
pub fn plan_placement(
    state: &mut PlannerState,
    service: &Service,
    now: ClockTime,
) -> Option<MoveStep> {
    let engine = service.engine.as_ref().filter(|of| of.models.len() > 1)?;
    if now < state.settings.cold_start_until || state.version.is_none() {
        return None;
    }
    let is_current = |begun: &&BegunMove| begun.plan.service == service.name;
    if let Some(begun) = state.placement.current_move().filter(is_current) {
        let is_complete = is_complete(state, engine, &begun.plan);
        let limit = begun.plan.duration * 3 + MOVE_GRACE;
        let is_overdue = now.since(begun.begun_at) >= limit;
        let plan = begun.plan.clone();
        if !is_complete && !is_overdue {
            return None;
        }
        end_move(state, now);
        return Some(match is_complete {
            true => MoveStep::Completed(plan),
            false => MoveStep::Overdue(plan),
        });
    }
    let input = placement_input(state, service, engine);
    if let Some(returned) = return_loan(state, &input, now) {
        return Some(MoveStep::Returned(returned));
    }
    if let Some(loan) = choose_loan(&input, now) {
        lend(state, engine, &loan, now);
        return Some(MoveStep::Lent(loan));
    }
    let plan = choose_move(&input, now)?;
    state.placement.loans.remove(&plan.fabric);
    state.homes.insert(plan.fabric.clone(), plan.to.clone());
    state.placement.last_move = Some(BegunMove {
        plan: plan.clone(),
        begun_at: now,
        ended_at: None,
    });
    Some(MoveStep::Begun(plan))
}

/// Marks the spares that a loan takes.
fn lend(state: &mut PlannerState, engine: &EngineProfile, loan: &SpareLoan, now: ClockTime) {
    let members = state.record.groups.iter().flat_map(|group| &group.members);
    let grouped: BTreeSet<_> = members.map(|member| member.id.clone()).collect();
    let spares = state.endpoints.iter().filter(|(id, view)| {
        view.endpoint.fabric.as_ref() == Some(&loan.fabric)
            && is_usable(view)
            && !grouped.contains(*id)
    });
    let mut spares: Vec<_> = spares.collect();
    // Those that would have to load anyway first, so that the others can repair groups.
    spares.sort_by_key(|(_, view)| {
        let home = state.homes.get(&loan.fabric);
        home.is_some_and(|home| view.endpoint.staged.contains(home))
    });
    let size = engine
        .model(&loan.model)
        .map_or(0, |model| model.group_size);
    let lent = spares.into_iter().take(size * loan.groups);
    let loan = OpenLoan {
        endpoints: lent.map(|(id, _)| id.clone()).collect(),
        plan: loan.clone(),
        begun_at: now,
        has_served: false,
        unneeded_since: None,
    };
    state.placement.returning.remove(&loan.plan.fabric);
    state.placement.loans.insert(loan.plan.fabric.clone(), loan);
}

/// Follows the loans of a service and ends one that is no longer needed, whose domain's own model
/// is short, or that has formed no groups in time.
fn return_loan(
    state: &mut PlannerState,
    input: &PlacementInput,
    now: ClockTime,
) -> Option<SpareLoan> {
    let has_guests = |fabric: &FabricName| {
        let mut domains = input.domains.iter();
        domains.any(|domain| domain.fabric == *fabric && !domain.guests.is_empty())
    };
    state.placement.returning.retain(has_guests);
    let mut returned = None;
    let mut has_served = false;
    for domain in &input.domains {
        let Some(loan) = state.placement.loans.get_mut(&domain.fabric) else {
            continue;
        };
        let groups = domain.guests.get(&loan.plan.model).copied().unwrap_or(0);
        let serving = state.record.groups.iter().filter(|group| {
            group.phase == GroupPhase::Serving && loan.endpoints.contains(&group.head().id)
        });
        if !loan.has_served && serving.count() >= loan.plan.groups {
            loan.has_served = true;
            has_served = true;
        }
        let is_spared = loan.has_served && is_spared(input, &loan.plan.model, groups);
        loan.unneeded_since = is_spared.then(|| loan.unneeded_since.unwrap_or(now));
        let is_unneeded = loan
            .unneeded_since
            .is_some_and(|since| now.since(since) >= PLACEMENT_HORIZON);
        let limit = loan.plan.duration * 3 + MOVE_GRACE;
        let is_overdue = !loan.has_served && now.since(loan.begun_at) >= limit;
        // Its members are lost, and what is left forms no group.
        let is_void = loan.has_served && groups == 0;
        if is_unneeded || is_overdue || is_void || is_in_need(input, &domain.model, now) {
            returned = Some(loan.plan.clone());
        }
    }
    if let Some(loan) = &returned {
        state.placement.loans.remove(&loan.fabric);
        state.placement.returning.insert(loan.fabric.clone());
    }
    if has_served || returned.is_some() {
        forget_shortages(state);
    }
    returned
}

/// Ends the move; shortages are measured anew with the domain's new groups.
fn end_move(state: &mut PlannerState, now: ClockTime) {
    if let Some(last) = &mut state.placement.last_move {
        last.ended_at = Some(now);
    }
    forget_shortages(state);
}

fn forget_shortages(state: &mut PlannerState) {
    for average in state.placement.averages.values_mut() {
        average.short_since = None;
    }
}

/// Whether a domain has none of its former groups and all of the new ones that were planned, or
/// that its endpoints still allow.
fn is_complete(state: &PlannerState, engine: &EngineProfile, plan: &DomainMove) -> bool {
    let usable = state
        .endpoints
        .values()
        .filter(|view| view.endpoint.fabric.as_ref() == Some(&plan.fabric) && is_usable(view));
    let size = engine.model(&plan.to).map_or(1, |model| model.group_size);
    let expected = plan.formed_groups.min(usable.count() / size.max(1));
    let in_domain = state.record.groups.iter().filter(|group| {
        let head = state.endpoints.get(&group.head().id);
        head.and_then(|view| view.endpoint.fabric.as_ref()) == Some(&plan.fabric)
    });
    let (new, former): (Vec<_>, Vec<_>) = in_domain.partition(|group| group.model == plan.to);
    let serving = new
        .iter()
        .filter(|group| group.phase == GroupPhase::Serving);
    former.is_empty() && serving.count() >= expected
}
