//! The owner's moves of fabric domains between the models of a service.

use base::prelude::*;
use intent::{RoutingConfig, Service};
use replicas::commands::{MoveStep, plan_placement, record_demand};
use replicas::{DomainMove, ModelDemand, SpareLoan};

use crate::peer::DemandReport;
use crate::queries::total_demand;
use crate::{EdgeEffect, EdgeState};

/// Interval between two comparisons; the averages cover ten seconds, and the planner also runs
/// after each event.
const COMPARISON_INTERVAL: Duration = Duration::from_millis(250);

/// Records the demand of all nodes and moves a fabric domain if its models need it.
pub(super) fn follow_demand(
    state: &mut EdgeState,
    config: &RoutingConfig,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let has_models = |service: &&Service| {
        let engine = service.engine.as_ref();
        engine.is_some_and(|engine| engine.models.len() > 1)
    };
    let services: Vec<_> = config.services.values().filter(has_models).collect();
    if services.is_empty() || now < state.placement_due {
        return Vec::new();
    }
    state.placement_due = now + COMPARISON_INTERVAL;
    let reports = total_demand(state, now);
    let demands: Vec<_> = reports
        .iter()
        .map(|report| model_demand(state, report, now))
        .collect();
    let mut effects = Vec::new();
    for service in services {
        record_demand(&mut state.planner, service, &demands, now);
        let step = plan_placement(&mut state.planner, service, now);
        effects.extend(step.map(|step| EdgeEffect::CountMove(log_step(&step))));
    }
    effects
}

/// Demand for a model with the requests in flight at its groups.
fn model_demand(state: &EdgeState, report: &DemandReport, now: ClockTime) -> ModelDemand {
    let DemandReport { service, model, .. } = report;
    let per_second = |thousandths: u32| f64::from(thousandths) / 1_000.0;
    let in_flight = relay::queries::model_load(&state.relay, service, model, now);
    ModelDemand {
        service: service.clone(),
        model: model.clone(),
        arrivals: per_second(report.arrivals),
        returns: per_second(report.returns),
        refusals: per_second(report.refusals),
        in_flight: f64::from(in_flight),
        priority: Some(f64::from(report.priority_tenths) / 10.0),
    }
}

/// Metrics of the demand for the models, for the owner's log interval.
pub(super) fn report_demand(state: &EdgeState, config: &RoutingConfig) -> Vec<EdgeEffect> {
    let services = config.services.values();
    let figures =
        services.flat_map(|service| replicas::queries::model_figures(&state.planner, service));
    let effects = figures.map(|(model, figures)| EdgeEffect::ReportDemand {
        model,
        demand: figures.demand as u64,
        capacity: figures.capacity as u64,
    });
    effects.collect()
}

/// Logs a step of a move or a loan; returns the label of its metric.
fn log_step(step: &MoveStep) -> &'static str {
    match step {
        MoveStep::Begun(planned) => {
            log_move(planned, log::Level::Info, "fabric domain changes its model");
            "begun"
        }
        MoveStep::Completed(planned) => {
            log_move(
                planned,
                log::Level::Info,
                "fabric domain serves its new model",
            );
            "completed"
        }
        MoveStep::Overdue(planned) => {
            let text = "fabric domain has not formed its groups in time";
            log_move(planned, log::Level::Warn, text);
            "overdue"
        }
        MoveStep::Lent(loan) => {
            log_loan(loan, "surplus spares load another model");
            "lent"
        }
        MoveStep::Returned(loan) => {
            log_loan(loan, "lent spares return to their domain's model");
            "returned"
        }
    }
}

fn log_move(planned: &DomainMove, level: log::Level, text: &str) {
    let DomainMove {
        fabric,
        from,
        to,
        donor,
        taker,
        ..
    } = planned;
    let duration_ms = planned.duration.as_millis() as u64;
    log::log!(level, fabric:%, from:%, to:%, from_demand = donor.demand, from_capacity = donor.capacity, to_demand = taker.demand, to_capacity = taker.capacity, closed_groups = planned.closed_groups, formed_groups = planned.formed_groups, duration_ms; "placement: {text}");
}

fn log_loan(loan: &SpareLoan, text: &str) {
    let (fabric, to, taker) = (&loan.fabric, &loan.model, loan.taker);
    let duration_ms = loan.duration.as_millis() as u64;
    log::info!(fabric:%, to:%, to_demand = taker.demand, to_capacity = taker.capacity, formed_groups = loan.groups, duration_ms; "placement: {text}");
}
