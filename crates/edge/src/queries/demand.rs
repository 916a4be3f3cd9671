//! Demand for the models of engines, at this node and at all nodes.

use std::cmp::Reverse;

use base::prelude::*;

use crate::EdgeState;
use crate::peer::DemandReport;

/// Time without a digest of a node after which its demand no longer counts.
const GONE_TIMEOUT: Duration = Duration::from_secs(3);

/// Demand for the models at this node: those with the most requests, of services whose engines
/// have more than one model.
pub(crate) fn local_demand(state: &EdgeState, now: ClockTime) -> Vec<DemandReport> {
    let Some(config) = state.config.get() else {
        return Vec::new();
    };
    let mut reports = Vec::new();
    for service in config.services.values() {
        let Some(engine) = service.engine.as_ref().filter(|of| of.models.len() > 1) else {
            continue;
        };
        let models = engine.models.iter().map(|model| {
            let rates = relay::queries::model_rates(&state.relay, &service.name, &model.name, now);
            // Conversions of floating-point numbers saturate.
            let thousandths = |rate: f64| (rate * 1_000.0) as u32;
            DemandReport {
                service: service.name.clone(),
                model: model.name.clone(),
                arrivals: thousandths(rates.arrivals),
                returns: thousandths(rates.returns),
                refusals: thousandths(rates.refusals),
                priority_tenths: (rates.priority * 10.0) as u32,
            }
        });
        reports.extend(models.filter(|report| report.arrivals > 0));
    }
    most_requested(reports)
}

/// Demand at this node and at those whose digests it gets.
///
/// Requests that a node refuses because it reaches no server show no lack of groups, so they don't
/// count as refused.
pub(crate) fn total_demand(state: &EdgeState, now: ClockTime) -> Vec<DemandReport> {
    let mut reports = local_demand(state, now);
    for peer in state.peers.values() {
        let is_present = peer
            .last_digest_at
            .is_some_and(|at| now.since(at) < GONE_TIMEOUT);
        let digest = peer.digest.as_ref().filter(|digest| !digest.has_sums);
        let Some(digest) = digest.filter(|_| is_present) else {
            continue;
        };
        for report in &digest.demand {
            let mut report = report.clone();
            if digest.is_cut_off {
                report.refusals = 0;
            }
            let same = reports
                .iter_mut()
                .find(|known| known.service == report.service && known.model == report.model);
            match same {
                Some(known) => known.add(&report),
                None => reports.push(report),
            }
        }
    }
    most_requested(reports)
}

fn most_requested(mut reports: Vec<DemandReport>) -> Vec<DemandReport> {
    reports.sort_by_key(|report| Reverse(report.arrivals));
    reports.truncate(DemandReport::MAX_COUNT);
    reports
}
