//! Endpoints that fall silent together.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

use crate::{EndpointView, PlannerState};

/// Age up to which a response counts.
const ANSWER_VALIDITY: Duration = Duration::from_millis(400);
/// Age up to which a response is still valid when a probe sent now ends.
const FRESH_ANSWER_AGE: Duration = Duration::from_millis(250);
/// Time without an answer from which a probe in flight counts as missed; answers take a few
/// milliseconds.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Fewest endpoints that are asked before some count as lost.
const MIN_ASKED: usize = 16;
/// Endpoints that are asked for each silent one.
const ASKED_PER_SILENT: usize = 4;
/// Fewest endpoints that fall silent together.
const MIN_SILENT: usize = 3;
/// Least percentage of silent endpoints, of those that were asked lately.
const MIN_SILENT_PERCENT: usize = 40;

/// Whether so many endpoints, in most fabric domains, have fallen silent at once that they were
/// rather suspended than lost.
///
/// A failure domain is lost as a whole, and single endpoints are few. Responses from before `since`
/// say nothing.
pub fn is_silence_common(state: &PlannerState, since: ClockTime, now: ClockTime) -> bool {
    let (mut silent, mut answering) = (0, 0);
    let (mut domains, mut silent_domains) = (BTreeSet::new(), BTreeSet::new());
    for view in state.endpoints.values() {
        let Some(fabric) = &view.endpoint.fabric else {
            continue;
        };
        domains.insert(fabric);
        if is_silent(view, now) {
            silent += 1;
            silent_domains.insert(fabric);
        } else if has_answered(view, since, ANSWER_VALIDITY, now) {
            answering += 1;
        }
    }
    silent >= MIN_SILENT
        && silent * 100 >= (silent + answering) * MIN_SILENT_PERCENT
        && silent_domains.len() * 2 > domains.len()
}

/// Endpoints to ask besides, because others in most fabric domains are silent: those whose next
/// probe is due first, from all fabric domains in turn.
pub fn witnesses(state: &PlannerState, now: ClockTime) -> Vec<HostName> {
    let silences = state.endpoints.values();
    let silences = silences.filter_map(|view| view.probe.silent_since.filter(|_| !view.is_lost));
    let since = silences.max().unwrap_or_default();
    let (mut silent, mut asked) = (0, 0);
    let mut silent_domains = BTreeSet::new();
    let mut domains: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (id, view) in &state.endpoints {
        let Some(fabric) = &view.endpoint.fabric else {
            continue;
        };
        let witnesses = domains.entry(fabric).or_default();
        let is_silent = is_silent(view, now);
        if is_silent {
            silent += 1;
            silent_domains.insert(fabric);
        }
        if is_silent || view.probe.is_in_flight || has_answered(view, since, FRESH_ANSWER_AGE, now)
        {
            asked += 1;
        } else if !view.is_lost {
            witnesses.push((view.probe.due, id));
        }
    }
    if silent < MIN_SILENT || silent_domains.len() * 2 <= domains.len() {
        return Vec::new();
    }
    let ranked = domains.into_values().flat_map(|mut witnesses| {
        witnesses.sort();
        let ranks = witnesses.into_iter().enumerate();
        ranks.map(|(rank, (due, id))| (rank, due, id))
    });
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort();
    let needed = MIN_ASKED.max(silent * ASKED_PER_SILENT);
    let chosen = ranked.into_iter().take(needed.saturating_sub(asked));
    chosen.map(|(.., id)| id.clone()).collect()
}

/// Whether an endpoint owes an answer and does not count as lost yet.
fn is_silent(view: &EndpointView, now: ClockTime) -> bool {
    let probe = &view.probe;
    let is_overdue =
        probe.is_in_flight && (probe.probed_at).is_some_and(|at| now.since(at) >= ANSWER_TIMEOUT);
    !view.is_lost && (probe.silent_since.is_some() || is_overdue)
}

fn has_answered(view: &EndpointView, since: ClockTime, validity: Duration, now: ClockTime) -> bool {
    let answered_at = view.probe.answered_at;
    answered_at.is_some_and(|at| at >= since && now.since(at) < validity)
}
